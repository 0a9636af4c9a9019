import { comparePositions, zeroPosition, type LogPosition } from '@camphorpitch/wire'
import type { EndpointStatus } from '../backend/endpoint-connector.ts'
import { EndpointConnector, type EndpointConnection } from '../backend/endpoint-connector.ts'
import { ConnectionLostError } from '../backend/errors.ts'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import type { SimulatedProcess, VirtualTime } from './virtual-time.ts'

const CONTROL_DELAY_MS = 4
/** Time for which a primary continues to lead after another endpoint was promoted. */
const OLD_PRIMARY_DEMOTION_MS = 1_000

/** An endpoint of a simulated group. A test changes its faults while it runs. */
export class SimulatedEndpoint {
  readonly endpoint: string
  role: 'primary' | 'replica' = 'replica'
  term = 1
  pausedForTerm = 0
  /** Whether it reports the term of its latest pause after it was resumed as well, and refuses a pause at that term. */
  keepsTermOfPause = false
  isPaused = false
  log: LogPosition[] = []
  isRunning = true
  /** Whether it receives nothing from its primary. */
  isDeaf = false
  isDraining = false
  /** Whether the store has its entry. */
  isRegistered = true
  failureDomain = 'north'
  startedAtMs = Date.now() - 60_000
  /** Number of log entries that it receives in a step of replication at most. */
  entriesPerStep = Infinity

  constructor (endpoint: string) {
    this.endpoint = endpoint
  }

  get received (): LogPosition {
    return this.log.at(-1) ?? zeroPosition
  }

  get entry (): EndpointEntry {
    return { endpoint: this.endpoint, service: 's', address: `127.0.0.1:${this.endpoint}`, failureDomain: this.failureDomain, role: this.role, isDraining: this.isDraining, slots: 3, warmupLeftMs: 0, startedAtMs: this.startedAtMs }
  }

  hasReceived (position: LogPosition): boolean {
    return this.log.some(p => comparePositions(p, position) === 0)
  }

  readStatus (): EndpointStatus {
    return { role: this.role, term: this.term, received: this.received, pausedForTerm: this.pausedForTerm, lagMs: 0 }
  }

  pause (term: number): void {
    if (this.role !== 'replica' || term <= Math.max(this.term, this.pausedForTerm)) return
    this.pausedForTerm = term
    this.isPaused = true
  }

  resume (): void {
    this.isPaused = false
    if (!this.keepsTermOfPause) this.pausedForTerm = 0
  }

  demote (term: number): void {
    if (this.role === 'primary' && term > this.term) this.role = 'replica'
  }

  /** Receives up to `count` entries of the primary's log, after it has dropped entries that the primary lacks. */
  follow (primary: SimulatedEndpoint, count: number): void {
    if (primary.term > this.term) {
      const firstOther = this.log.findIndex(p => !primary.hasReceived(p))
      if (firstOther >= 0) this.log.length = firstOther
      this.term = primary.term
      this.isPaused = false
      this.pausedForTerm = 0
    }
    this.log.push(...primary.log.slice(this.log.length, this.log.length + count))
  }

  /** Starts again with an empty log, as the same endpoint. */
  startAgain (): void {
    Object.assign(this, { role: 'replica', isPaused: false, pausedForTerm: 0, log: [], isRunning: true, startedAtMs: Date.now() })
  }
}

interface PendingCommit { process: SimulatedProcess | undefined, primary: SimulatedEndpoint, position: LogPosition, handleAcknowledged: (position: LogPosition) => boolean }

/** A group of endpoints whose commits are acknowledged once one replica has received them. */
export class SimulatedGroup {
  readonly endpoints = new Map<string, SimulatedEndpoint>()
  /** Positions of the commits whose acknowledgement reached a running VM on a connection that was open. */
  readonly acknowledged: LogPosition[] = []
  /** Those of them whose success a VM passed on to its client. */
  readonly #passedOn = new Set<string>()
  /** Descriptions of acknowledged commits that an endpoint lacked when it was promoted. */
  readonly lost: string[] = []
  /** Prints an event of the group; prints nothing by default. */
  print: (event: string) => void = () => {}
  /** Time from a commit to its execution at the endpoint; 0 executes it at once. */
  drawCommitDelayMs: () => number = () => 0
  readonly #time: VirtualTime
  #pendingCommits: PendingCommit[] = []

  constructor (names: readonly string[], time: VirtualTime) {
    this.#time = time
    for (const name of names) this.endpoints.set(name, new SimulatedEndpoint(name))
    this.find(names[0]!).role = 'primary'
  }

  find (name: string): SimulatedEndpoint {
    const found = this.endpoints.get(name)
    if (found === undefined) throw new Error(`no endpoint ${name}`)
    return found
  }

  /** Lists the entries that the store has. */
  listRegistered (): EndpointEntry[] {
    return [...this.endpoints.values()].filter(e => e.isRegistered).map(e => e.entry)
  }

  /** The running primary of the latest term. */
  get leader (): SimulatedEndpoint | undefined {
    return [...this.endpoints.values()].filter(e => e.isRunning && e.role === 'primary').sort((a, b) => b.term - a.term)[0]
  }

  /** Commits a write at the endpoint. `handleAcknowledged` tells whether the client receives the acknowledgement. */
  commit (primary: SimulatedEndpoint, handleAcknowledged: PendingCommit['handleAcknowledged']): void {
    const process = this.#time.currentProcess
    const delayMs = this.drawCommitDelayMs()
    if (delayMs === 0) this.#executeCommit(process, primary, handleAcknowledged)
    else this.#time.runAs(undefined, () => setTimeout(() => this.#executeCommit(process, primary, handleAcknowledged), delayMs))
  }

  #executeCommit (process: SimulatedProcess | undefined, primary: SimulatedEndpoint, handleAcknowledged: PendingCommit['handleAcknowledged']): void {
    if (!primary.isRunning || primary.role !== 'primary') return
    const position = { term: primary.term, index: primary.received.index + 1 }
    primary.log.push(position)
    this.#pendingCommits.push({ process, primary, position, handleAcknowledged })
  }

  /** Records that a VM told its client that a commit succeeded. */
  recordPassedOn (position: LogPosition): void {
    if (!this.acknowledged.some(p => comparePositions(p, position) === 0)) this.lost.push(`${formatPosition(position)} was passed on although no endpoint had acknowledged it`)
    this.#passedOn.add(formatPosition(position))
  }

  /** Replicates entries, at most `count` to each replica, and acknowledges the commits that a replica has received. */
  runReplication (count = Infinity): void {
    const running = [...this.endpoints.values()].filter(e => e.isRunning)
    const primaries = running.filter(e => e.role === 'primary').sort((a, b) => b.term - a.term)
    for (const replica of running.filter(e => e.role === 'replica' && !e.isDeaf)) {
      const primary = primaries.find(p => p.term >= replica.term && (!replica.isPaused || (p.term > replica.term && p.term >= replica.pausedForTerm)))
      if (primary !== undefined) replica.follow(primary, Math.min(count, replica.entriesPerStep))
    }
    this.#pendingCommits = this.#pendingCommits.filter(({ process, primary, position, handleAcknowledged }) => {
      if (!primary.isRunning || primary.role !== 'primary') return false
      if (!running.some(e => e.role === 'replica' && e.term === primary.term && e.hasReceived(position))) return true
      this.#tellAcknowledged(process, () => { if (handleAcknowledged(position)) this.acknowledged.push(position) }).catch(() => {}) // A process that stands still never rejects.
      return false
    })
  }

  /** Has the process that sent a commit handle its acknowledgement: at once, or when it goes on. */
  async #tellAcknowledged (process: SimulatedProcess | undefined, handle: () => void): Promise<void> {
    if (process === undefined) {
      handle()
      return
    }
    if (process.frozenUntilMs > this.#time.readNow()) await this.#time.waitWhileFrozen(process)
    this.#time.runAs(process, handle)
  }

  /**
   * Makes an endpoint the primary of the next term with the log that it has, as the platform does, unless it has stopped or restarted
   * since it was ordered at `orderedAtMs`. Records the acknowledged commits that it lacks.
   */
  promote (name: string, orderedAtMs = Infinity): void {
    const candidate = this.endpoints.get(name)
    this.print(`order for ${name} takes effect`)
    if (candidate?.isRunning !== true || candidate === this.leader || candidate.startedAtMs > orderedAtMs) return
    const missing = this.acknowledged.filter(p => !candidate.hasReceived(p)).map(formatPosition)
    const passedOnCount = missing.filter(p => this.#passedOn.has(p)).length
    if (missing.length > 0) this.lost.push(`${name} lacks ${missing.length > 6 ? `${missing.length} commits, ${missing[0]!} to ${missing.at(-1)!}` : missing.join(', ')}; ${passedOnCount} of them were passed on to clients`)
    if (missing.length > 0) this.print(`LOST: ${this.lost.at(-1)!}`)
    const term = Math.max(...[...this.endpoints.values()].map(e => e.term)) + 1
    Object.assign(candidate, { role: 'primary', term, isPaused: false, pausedForTerm: 0 })
    setTimeout(() => {
      for (const e of this.endpoints.values()) if (e.isRunning) e.demote(term)
    }, OLD_PRIMARY_DEMOTION_MS)
  }
}

function formatPosition ({ term, index }: LogPosition): string {
  return `${term}.${index}`
}

/** Connects one VM to the endpoints of a simulated group. */
export class SimulatedConnector extends EndpointConnector {
  /** Endpoints that the VM does not reach. */
  readonly unreachable = new Set<string>()
  /** Endpoints whose addresses refuse connections of the VM. */
  readonly refused = new Set<string>()
  /** Whether the VM has stopped. */
  isStopped = false
  /** Time from a command to its execution at the endpoint, and from there to the VM. */
  drawDelays = (): [toEndpointMs: number, toVmMs: number] => [CONTROL_DELAY_MS, 0]
  readonly #group: SimulatedGroup
  readonly #time: VirtualTime
  readonly #process: SimulatedProcess

  constructor (group: SimulatedGroup, time: VirtualTime, process: SimulatedProcess) {
    super()
    this.#group = group
    this.#time = time
    this.#process = process
  }

  override async connect ({ endpoint }: { endpoint: string }): Promise<EndpointConnection> {
    const run = async (command: (e: SimulatedEndpoint) => void): Promise<EndpointStatus> => {
      const [toEndpointMs, toVmMs] = this.drawDelays()
      await this.#time.waitOutside(toEndpointMs)
      const found = this.#group.endpoints.get(endpoint)
      const canReach = !this.isStopped && !this.unreachable.has(endpoint) && !this.refused.has(endpoint)
      const isReached = found !== undefined && found.isRunning && canReach
      if (isReached) command(found)
      const status = found?.readStatus()
      if (toVmMs > 0) await this.#time.waitOutside(toVmMs)
      if (this.#process.frozenUntilMs > this.#time.readNow()) await this.#time.waitWhileFrozen(this.#process)
      if (!isReached) {
        // Nothing listens at the address of an endpoint that has left.
        const isRefused = (found === undefined || this.refused.has(endpoint)) && !this.isStopped && !this.unreachable.has(endpoint)
        throw new ConnectionLostError('endpoint does not respond', { props: { isRefused } })
      }
      return status!
    }
    await run(() => {})
    const connection = {
      readStatus: async () => await run(() => {}),
      pause: async (term: number) => await run(e => this.#execute(`pauses ${e.endpoint} at term ${term}`, () => e.pause(term))),
      resume: async () => await run(e => this.#execute(`resumes ${e.endpoint}`, () => e.resume())),
      demote: async (term: number) => await run(e => this.#execute(`has ${e.endpoint} step down at term ${term}`, () => e.demote(term))),
      subscribeClose: () => {},
      close: () => {}
    }
    return connection as unknown as EndpointConnection
  }

  #execute (event: string, command: () => void): void {
    this.#group.print(`${this.#process.name} ${event}`)
    command()
  }
}
