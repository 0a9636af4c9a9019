import { connect, type Socket } from 'node:net'
import { LineReader } from '../../platform/src/wire/lines.ts'
import { HOST } from './gateway-process.ts'

/** A statement as its requester saw it; times of `performance.now()`. */
export interface SentStatement {
  id: string
  text: string
  vm: string
  /** Before its first byte was sent. */
  sentAtMs: number
  /** When the response had arrived; `null` if none did. */
  answeredAtMs: number | null
  /** Lines of the response. */
  lines: string[]
}

/** Whether a response is a success with an instance's proof. */
export function isProven ({ lines }: SentStatement): boolean {
  return lines.some(l => l.startsWith('COMPLETE ') && l !== 'COMPLETE -')
}

/** Whether a response is a success. */
export function isSuccess ({ lines }: SentStatement): boolean {
  return lines.some(l => l.startsWith('COMPLETE '))
}

/** Describes a statement for the record: when it was sent, run by an instance, and answered, and with what. */
export function formatStatement ({ id, text, vm, sentAtMs, answeredAtMs, lines }: SentStatement, ranAtMs?: number): string {
  const [sent, ran, answered] = [sentAtMs, ranAtMs, answeredAtMs].map(ms => ms == null ? '-' : (ms / 1_000).toFixed(3))
  return `${id} ${vm} sent ${sent} run ${ran} answered ${answered}: ${text} -> ${lines.join(' | ') || 'no answer'}\n`
}

let lastId = 0

/** A requester's session, which sends one statement at a time and closes on a message that it does not await. */
export class Requester {
  readonly sent: SentStatement[] = []
  isClosed = false
  readonly #vm: string
  readonly #socket: Socket
  #lines: string[] = []
  #isAwaiting = false
  #notify: () => void = () => {}

  constructor (vm: string, port: number) {
    this.#vm = vm
    this.#socket = connect({ host: HOST, port, noDelay: true })
    const reader = new LineReader()
    this.#socket.on('data', chunk => {
      this.#lines.push(...reader.read(chunk))
      if (this.#isAwaiting) this.#notify()
      else this.close()
    })
    this.#socket.on('error', () => {})
    this.#socket.on('close', () => {
      this.isClosed = true
      this.#notify()
    })
  }

  /** @returns whether the session was accepted */
  async open (database: string, key: string): Promise<boolean> {
    const lines = await this.#exchange(`STARTUP ${database} ${key}`)
    return lines.at(-1)?.startsWith('READY') === true
  }

  async run (text: string): Promise<SentStatement> {
    const id = (++lastId).toString(16).padStart(16, '0')
    const statement: SentStatement = { id, text, vm: this.#vm, sentAtMs: performance.now(), answeredAtMs: null, lines: [] }
    this.sent.push(statement)
    statement.lines = await this.#exchange(`QUERY ${id} ${text}`)
    if (statement.lines.at(-1)?.startsWith('READY') === true) statement.answeredAtMs = performance.now()
    return statement
  }

  async #exchange (line: string): Promise<string[]> {
    if (this.isClosed) return []
    this.#isAwaiting = true
    this.#socket.write(`${line}\r\n`, 'latin1')
    for (;;) {
      const end = this.#lines.findIndex(l => l.startsWith('READY') || (line.startsWith('STARTUP') && l.startsWith('ERROR')))
      if (end >= 0 || this.isClosed) {
        this.#isAwaiting = false
        return this.#lines.splice(0, end >= 0 ? end + 1 : Infinity)
      }
      await new Promise<void>(resolve => { this.#notify = resolve })
    }
  }

  close (): void {
    this.isClosed = true
    this.#socket.destroy()
    this.#notify()
  }
}
