import { appendFile, readFile, writeFile } from 'node:fs/promises'
import { connect, type Socket } from 'node:net'
import { Deployment, SERVICE, type DeployedVm } from './deployment.ts'
import { HOST, waitFor } from './gateway-process.ts'
import { formatStatement, isProven, Requester, type SentStatement } from './requester.ts'
import { StrictGroup, StrictInstance } from './strict-instance.ts'

/** Ends of a process on each of two machines with which the rule `Fault` is broken. */
const ENDS = 3
const ROUND_MS = 12_000
/** Peers close their connections and come again after this long: a VM that has just started refuses much. */
const RETURN_MS = 3_000
const PAUSE_MS = 50
/** `memory-mb` of the small deployments. */
const MEMORY_BYTES = 350 * 1024 * 1024
const PAGE_BYTES = 4_096
const MEGABYTE = 1024 * 1024

export interface EndsOptions {
  recordFile: string
  /** Peers at each of two VMs at a time. */
  peers: number
  /** What a peer sends, beginning with its STARTUP. */
  createInput: () => string
  /** Whether a peer takes the answers. */
  takesAnswers: boolean
  /** Size of a row. */
  rowBytes?: number
  /** What the peers do, for the record. */
  description: string
}

/** Plays peers that send much to two of three VMs, again after each end of a process. */
class EndsPlay {
  readonly #options: EndsOptions
  readonly #sent: SentStatement[] = []
  readonly #group = new StrictGroup()
  readonly #deployment: Deployment<StrictGroup>
  #isOver = false

  constructor (options: EndsOptions) {
    this.#options = options
    const { rowBytes } = options
    for (const id of ['i-1', 'i-2', 'i-3']) StrictInstance.create(this.#group, { id, service: SERVICE, workMs: 2, maxConnections: 46, rowBytes })
    this.#deployment = new Deployment(this.#group, { vms: { 'edge-1': 'zone-1', 'edge-2': 'zone-2', 'edge-3': 'zone-3' }, promoteMs: 300, tenant: { rate: 1_000, burst: 1_000 } })
  }

  /** @returns the exit code of the case */
  async play (): Promise<number> {
    const { vms } = this.#deployment
    await this.#deployment.start()
    const requesters = vms.map(async vm => await this.#runRequester(vm))
    await waitFor(10 * PAUSE_MS)
    const ends = await Promise.all(vms.slice(0, 2).map(async vm => await this.#playRounds(vm)))
    this.#isOver = true
    await this.#deployment.stop()
    await Promise.all(requesters)
    const proven = this.#sent.filter(isProven).length
    await this.record(`ends: ${ends.join(', ')}; ${this.#sent.length} statements of other requesters, ${proven} answered with proof; ${this.#group.run.length} statements run by instances`)
    await appendFile(this.#options.recordFile, this.#sent.map(s => formatStatement(s).replace(/\.{9,}/, '...')).join(''))
    if (proven === 0) return 2
    return ends.every(e => e >= ENDS) ? 1 : 0
  }

  async record (line: string): Promise<void> {
    await appendFile(this.#options.recordFile, `${(performance.now() / 1_000).toFixed(3)} ${line}\n`)
  }

  /** @returns how often the VM's process has ended */
  async #playRounds (vm: DeployedVm): Promise<number> {
    const { peers, description } = this.#options
    const count = process.env.TROUBLE === '0' ? 0 : peers
    for (let ends = 0; ends < ENDS; ends++) {
      await this.record(`${vm.name}: ${count} peers ${description}`)
      const reason = await this.#waitForEnd(vm, count)
      if (reason === null) return ends
      await this.record(`${vm.name}: process ${reason}`)
      await vm.gateway.stop()
      await this.#deployment.restart(vm)
    }
    return ENDS
  }

  #openPeer (port: number): Socket {
    const { createInput, takesAnswers } = this.#options
    const socket = connect({ host: HOST, port })
    socket.on('error', () => {})
    if (takesAnswers) socket.resume()
    else socket.pause()
    socket.write(createInput(), 'latin1')
    return socket
  }

  /** Has peers come until a VM's process ends, or is over the memory limit, with which the platform ends it. @returns why, `null` if it does not in time */
  async #waitForEnd ({ name, gateway: { port, child } }: DeployedVm, peers: number): Promise<string | null> {
    const untilMs = performance.now() + ROUND_MS
    let [peakBytes, openedAtMs] = [0, -Infinity]
    let sockets: Socket[] = []
    const findReason = (): string | null => {
      if (child.exitCode !== null || child.signalCode !== null) return `ended by itself (exit code ${child.exitCode}, signal ${child.signalCode})`
      return peakBytes > MEMORY_BYTES ? 'over its memory limit' : null
    }
    while (findReason() === null && performance.now() < untilMs) {
      if (performance.now() - openedAtMs >= RETURN_MS) {
        for (const s of sockets) s.destroy()
        sockets = Array.from({ length: peers }, () => this.#openPeer(port))
        openedAtMs = performance.now()
      }
      peakBytes = Math.max(peakBytes, await readMemory(child.pid!))
      await waitFor(PAUSE_MS)
    }
    for (const s of sockets) s.destroy()
    const reason = findReason()
    const memory = `${Math.round(peakBytes / MEGABYTE)} MB`
    if (reason === null) await this.record(`${name}: memory at most ${memory}`)
    return reason === null ? null : `${reason}, with at most ${memory} before`
  }

  /** Another requester, whose statements show that the VM serves. */
  async #runRequester (vm: DeployedVm): Promise<void> {
    while (!this.#isOver) {
      const requester = new Requester(vm.name, vm.gateway.port)
      if (!await requester.open('batch-log', 'key-workshop')) requester.close()
      while (!this.#isOver && !requester.isClosed) {
        this.#sent.push(await requester.run('READ 2b7'))
        await waitFor(10 * PAUSE_MS)
      }
      requester.close()
      await waitFor(10 * PAUSE_MS)
    }
  }
}

async function readMemory (pid: number): Promise<number> {
  const text = await readFile(`/proc/${pid}/statm`, 'latin1').catch(() => '0 0')
  return Number(text.split(' ')[1]) * PAGE_BYTES
}

/** Plays a case of the rule `Fault` and ends the process with its exit code. */
export async function runEndsCase (options: EndsOptions): Promise<void> {
  await writeFile(options.recordFile, '')
  const play = new EndsPlay(options)
  let exitCode = 2
  try {
    exitCode = await play.play()
  } catch (error) {
    await play.record(`could not run: ${error instanceof Error ? error.stack : String(error)}`)
  }
  process.exit(exitCode)
}
