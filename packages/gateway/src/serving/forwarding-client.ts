import type { Clock, Hello, LinkLoss, PeerNetwork } from '@camphorpitch/wire'
import type { VmEntry } from '../fleet/message-schemas.ts'
import type { Withdrawal } from '../pool/withdrawal.ts'
import { computeTimeLeftMs, type Operation, type Outcome } from '../statements/operation.ts'
import { encodeOperation, estimateBytes, SERVING_SLICE, type NotRunReason, type OutcomeMessage, type PartMessage, type ServingMessage } from './forwarding-messages.ts'
import { checkAvailability, createServingVmHealth, isUnheard, recordFailure, recordForwarded, recordHeard, recordRefusal, recordRoundTrip, recordSettled, type Availability, type ServingVmHealth } from './serving-vm-health.ts'

/**
 * A statement without an answer for this long is asked about: the VM may be slow, stand still, or never have received it. It is above
 * the response time of most statements, so that few need the additional messages.
 */
const INQUIRY_DELAY_MS = 250

/**
 * How the forwarding of a statement ended. `notRun`: it has certainly not run, and will not. `noAnswer`: it may have run, and may
 * still run.
 */
export type ForwardResult =
  | { kind: 'outcome', outcome: Outcome }
  | { kind: 'notRun', reason: string, isDraining?: boolean }
  | { kind: 'noAnswer', reason: string }

interface PendingStatement {
  vm: string
  servingIncarnation: number
  health: ServingVmHealth
  bytes: number
  sentAtMs: number
  /** Rows of the parts that have arrived. */
  rows: string[]
  parts: number
  timers: NodeJS.Timeout[]
  resolve: (result: ForwardResult) => void
}

export interface ForwardingClientOptions { clock: Clock, network: PeerNetwork }

/** Sends statements to serving VMs and receives their outcomes. Each statement is sent once. */
export class ForwardingClient {
  readonly #options: ForwardingClientOptions
  readonly #pending = new Map<number, PendingStatement>()
  /** How each VM has responded since its latest known start. */
  readonly #health = new Map<string, { incarnation: number, health: ServingVmHealth }>()
  #lastRequest = 0

  constructor (options: ForwardingClientOptions) {
    this.#options = options
    options.network.subscribeLinkLoss((vm, loss) => this.#handleLinkLoss(vm, loss))
  }

  get inFlight (): number {
    return this.#pending.size
  }

  checkAvailability (vm: VmEntry, bytes: number): Availability {
    return checkAvailability(this.#findHealth(vm), bytes, this.#options.clock.readNow())
  }

  /** Describes for the log what is known of a VM. */
  describeVm (vm: VmEntry): { inFlight: number, heardAgeMs: number | null } {
    const { inFlight, lastHeardAtMs } = this.#findHealth(vm)
    return { inFlight, heardAgeMs: lastHeardAtMs === null ? null : Math.round(this.#options.clock.readNow() - lastHeardAtMs) }
  }

  /** Forgets VMs that are no members any more. */
  removeVms (isMember: (vm: string) => boolean): void {
    for (const vm of this.#health.keys()) if (!isMember(vm)) this.#health.delete(vm)
  }

  /**
   * Sends a statement to a serving VM. Resolves with its outcome, or once none can be waited for any more.
   *
   * @param withdrawal tells the serving VM that the statement, a read, has been answered elsewhere; its outcome is waited for all the same
   */
  async forward (vm: VmEntry, operation: Operation, isWrite: boolean, withdrawal?: Withdrawal): Promise<ForwardResult> {
    const { clock, network } = this.#options
    const nowMs = clock.readNow()
    const health = this.#findHealth(vm)
    const request = ++this.#lastRequest
    const bytes = estimateBytes(operation)
    const elapsedMs = Math.max(0, nowMs - operation.receivedAtMs) + (health.roundTripMs ?? 0) / 2
    const message = encodeOperation(operation, { incarnation: network.self.incarnation, request, servingIncarnation: vm.incarnation, isWrite, elapsedMs, sentAtMs: nowMs })
    return await new Promise(resolve => {
      const timeLeftMs = computeTimeLeftMs(operation, nowMs)
      const timers = [setTimeout(() => this.#handleTimeout(request), timeLeftMs)]
      if (timeLeftMs > INQUIRY_DELAY_MS) timers.push(setTimeout(() => this.#send(vm.vm, { type: 'inquiry', incarnation: network.self.incarnation, request }), INQUIRY_DELAY_MS))
      this.#pending.set(request, { vm: vm.vm, servingIncarnation: vm.incarnation, health, bytes, sentAtMs: nowMs, rows: [], parts: 0, timers, resolve })
      recordForwarded(health, bytes, nowMs)
      this.#send(vm.vm, message)
      withdrawal?.subscribe(() => {
        if (this.#pending.has(request)) this.#send(vm.vm, { type: 'withdraw', incarnation: network.self.incarnation, request })
      })
    })
  }

  /** Handles what a serving VM sent about a statement. Messages about statements that are settled, or were sent before this VM started, change nothing. */
  handleMessage (from: Hello, message: Exclude<ServingMessage, { type: 'run' | 'inquiry' | 'withdraw' }>): void {
    const known = this.#health.get(from.vm)
    if (known?.incarnation === from.incarnation) recordHeard(known.health, this.#options.clock.readNow())
    const pending = this.#pending.get(message.request)
    if (message.incarnation !== this.#options.network.self.incarnation || pending?.vm !== from.vm) return
    // Another start of the VM knows nothing of what this one ran, but for statements that it was sent itself.
    const isFromRestarted = message.type === 'notRun' && message.reason === 'restarted'
    if (from.incarnation !== pending.servingIncarnation && !isFromRestarted) return
    if (message.type === 'part') this.#addPart(message, pending)
    else if (message.type === 'outcome') this.#handleOutcome(message, pending)
    else if (message.type === 'notRun') this.#handleNotRun(message.request, message.reason, pending)
    else if (!message.isRunning) this.#settle(message.request, { kind: 'noAnswer', reason: `${from.vm} has answered, but the answer has not arrived` })
  }

  #addPart ({ part, rows }: PartMessage, pending: PendingStatement): void {
    if (part !== pending.parts) return
    pending.parts++
    for (const row of rows) pending.rows.push(row)
  }

  #handleOutcome ({ request, outcome, workMs, parts: partsSent }: OutcomeMessage, { health, sentAtMs, rows, parts }: PendingStatement): void {
    if (parts !== partsSent) return this.#settle(request, { kind: 'noAnswer', reason: 'a part of the answer was lost' })
    const nowMs = this.#options.clock.readNow()
    recordRoundTrip(health, Math.max(0, nowMs - sentAtMs - workMs), nowMs)
    if ('refusal' in outcome || rows.length === 0) return this.#settle(request, { kind: 'outcome', outcome })
    const response = { ...outcome.response, rows: [...rows, ...outcome.response.rows] }
    this.#settle(request, { kind: 'outcome', outcome: { ...outcome, response } })
  }

  #handleNotRun (request: number, reason: NotRunReason, { health, vm }: PendingStatement): void {
    if (reason === 'draining' || reason === 'overloaded' || reason === 'endpointUnreachable') recordRefusal(health, reason, this.#options.clock.readNow())
    this.#settle(request, { kind: 'notRun', reason: `${vm}: ${reason}`, isDraining: reason === 'draining' })
  }

  #handleTimeout (request: number): void {
    const pending = this.#pending.get(request)
    if (pending === undefined) return
    const nowMs = this.#options.clock.readNow()
    if (isUnheard(pending.health, nowMs)) recordFailure(pending.health, nowMs)
    this.#settle(request, { kind: 'noAnswer', reason: `no answer of ${pending.vm} in time` })
  }

  #handleLinkLoss (vm: string, loss: LinkLoss): void {
    const lost = [...this.#pending].filter(([, p]) => p.vm === vm)
    for (const [request, { health }] of lost) {
      recordFailure(health, this.#options.clock.readNow())
      this.#settle(request, loss === 'unreachable' ? { kind: 'notRun', reason: `${vm} can't be reached` } : { kind: 'noAnswer', reason: `the link to ${vm} was lost` })
    }
  }

  #settle (request: number, result: ForwardResult): void {
    const pending = this.#pending.get(request)
    if (pending === undefined) return
    this.#pending.delete(request)
    for (const timer of pending.timers) clearTimeout(timer)
    recordSettled(pending.health, pending.bytes)
    pending.resolve(result)
  }

  #findHealth ({ vm, incarnation }: VmEntry): ServingVmHealth {
    const known = this.#health.get(vm)
    if (known?.incarnation === incarnation) return known.health
    const health = createServingVmHealth()
    this.#health.set(vm, { incarnation, health })
    return health
  }

  #send (vm: string, message: ServingMessage): void {
    this.#options.network.send(vm, SERVING_SLICE, message)
  }
}
