import { connect } from 'node:net'
import { readLines } from './lines.mjs'

let lastId = 0

/** A requester: one session, which sends one statement at a time. */
export class Client {
  isClosed = false
  #lines = []
  #wake = () => {}

  constructor ({ name, front }, record) {
    Object.assign(this, { gateway: name, record })
    this.socket = connect({ port: front, host: '127.0.0.1', noDelay: true })
    this.socket.on('error', () => this.socket.destroy())
    this.socket.on('close', () => {
      this.isClosed = true
      this.#wake()
    })
    readLines(this.socket, line => {
      this.#lines.push(line)
      this.#wake()
    })
  }

  /** @returns the lines up to the next `READY`, or all lines if the connection ends before or nothing comes in time */
  async #readAnswer (timeoutMs) {
    const untilMs = performance.now() + timeoutMs
    for (;;) {
      const end = this.#lines.findIndex(l => l.startsWith('READY'))
      if (end >= 0) return this.#lines.splice(0, end + 1)
      if (this.isClosed || performance.now() >= untilMs) return this.#lines.splice(0)
      await new Promise(resolve => {
        const timer = setTimeout(resolve, untilMs - performance.now())
        this.#wake = () => {
          clearTimeout(timer)
          resolve()
        }
      })
    }
  }

  /** @returns whether the session was accepted */
  async open (database, key) {
    this.socket.write(`STARTUP ${database} ${key}\r\n`, 'latin1')
    const answer = await this.#readAnswer(2_000)
    return answer.at(-1)?.startsWith('READY') === true
  }

  /** Sends a statement. @returns its id, the lines of its answer, and whether that is a success; no lines if the connection ended */
  async run (text, timeoutMs = 4_000) {
    const id = `q${(++lastId).toString(16).padStart(8, '0')}`
    const sentAtMs = performance.now()
    this.record(`sent to ${this.gateway}: ${id} ${text}`)
    this.socket.write(`QUERY ${id} ${text}\r\n`, 'latin1')
    const lines = await this.#readAnswer(timeoutMs)
    this.record(`answered: ${id} ${lines.join(' | ') || (this.isClosed ? 'the connection ended without an answer' : 'nothing in time')}`)
    return { id, text, lines, sentAtMs, answeredAtMs: performance.now(), isSuccess: lines.some(l => l.startsWith('COMPLETE')), isComplete: lines.at(-1)?.startsWith('READY') === true }
  }

  close () {
    this.socket.destroy()
  }
}
