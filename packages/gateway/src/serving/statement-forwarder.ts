import { createRetryBudget, recordRequest, spendRetry, type Clock, type Hello, type Logger, type PeerNetwork, type RetryBudget } from '@camphorpitch/wire'
import type { MemberState } from '../fleet/members.ts'
import type { VmEntry } from '../fleet/message-schemas.ts'
import { Withdrawal } from '../pool/withdrawal.ts'
import { waitFor } from '../runtime/wait-at-most.ts'
import { computeTimeLeftMs, createRetryRefusal, type Operation, type Outcome } from '../statements/operation.ts'
import { decideForwarding, type ForwardingDecision } from './decide-forwarding.ts'
import { ForwardingClient, type ForwardResult } from './forwarding-client.ts'
import { estimateBytes, SERVING_SLICE, servingMessageSchema } from './forwarding-messages.ts'
import { ForwardingServer, type ForwardingServerOptions } from './forwarding-server.ts'
import type { ServingVms } from './serving-vms.ts'

/** Fraction of its objective for which a read waits for a serving VM alone, so that there is time left to run it here within the objective. */
const READ_WAIT_FRACTION = 0.5
/** A read waits at least this long: a round trip between regions and a response that is slower than usual. */
const MIN_READ_WAIT_MS = 200
/** A statement that was not run is refused if less time is left: a write that is sent without time for its response is in doubt. */
const MIN_LOCAL_RUN_MS = 50
/** Interval at which the end of the accepted statements is checked during a stop. */
const STOP_CHECK_INTERVAL_MS = 20

interface ForwardAttempt {
  isWrite: boolean
  /** Whether no serving VM has refused the statement before. */
  isFirst: boolean
}

export interface StatementForwarderOptions {
  clock: Clock
  logger: Logger
  network: PeerNetwork
  members: MemberState
  servingVms: ServingVms
  /** Returns the failure domain of the service's primary; `undefined` while none is known. */
  findPrimaryDomain: (service: string) => string | undefined
  /** Counts the statements of services with serving VMs by where they run and why. */
  recordDecision: (service: string, place: 'forwarded' | 'local', reason: ForwardingDecision['reason'] | 'notRun' | 'noAnswer') => void
  recordServed: ForwardingServerOptions['recordServed']
}

/**
 * Runs an operation on this VM, for one of its clients or for another VM; `undefined` if no endpoint of its service is registered. A read
 * that is withdrawn is sent to no endpoint any more.
 */
export type LocalRun = (operation: Operation, isWrite: boolean, withdrawal?: Withdrawal) => Promise<Outcome | undefined>

/** Runs single statements on the serving VMs of their services, and those of other VMs that this VM serves. */
export class StatementForwarder {
  readonly #options: StatementForwarderOptions
  readonly #client: ForwardingClient
  readonly #server: ForwardingServer
  readonly #retryBudgets = new Map<string, RetryBudget>()
  #runLocally: LocalRun = async () => undefined
  #membersChecked = -1

  constructor (options: StatementForwarderOptions) {
    const { clock, logger, network, recordServed } = options
    this.#options = options
    this.#client = new ForwardingClient({ clock, network })
    this.#server = new ForwardingServer({ clock, logger, network, recordServed, run: async (...args) => await this.#runLocally(...args) })
    network.subscribe(SERVING_SLICE, (from, body) => this.#receive(from, body))
  }

  /** Sets how operations are run on this VM; the host of the sessions is created after the forwarder. */
  connect (runLocally: LocalRun): void {
    this.#runLocally = runLocally
  }

  /** Number of statements of this VM's clients that serving VMs have not answered yet. */
  get inFlight (): number {
    return this.#client.inFlight
  }

  /** Refuses statements of other VMs, and waits until those that were accepted are answered. */
  async stop (): Promise<void> {
    await this.#server.stop(async () => await new Promise(resolve => setTimeout(resolve, STOP_CHECK_INTERVAL_MS)))
  }

  /** Runs a read or write outside of a transaction, here or on a serving VM. A write is run at most once. `undefined` as for `LocalRun`. */
  async run (operation: Operation, isWrite: boolean): Promise<Outcome | undefined> {
    const { servingVms, recordDecision } = this.#options
    const { service } = operation.route
    if (!servingVms.isServed(service)) return await this.#runLocally(operation, isWrite)
    const decision = this.#decide(operation, isWrite)
    recordDecision(service, decision.vm === null ? 'local' : 'forwarded', decision.reason)
    this.#logDecision(operation, decision)
    if (decision.vm === null) return await this.#runLocally(operation, isWrite)
    return await this.#forward(decision.vm, operation, { isWrite, isFirst: true })
  }

  async #forward (vm: VmEntry, operation: Operation, attempt: ForwardAttempt): Promise<Outcome | undefined> {
    return attempt.isWrite ? await this.#forwardWrite(vm, operation, attempt) : await this.#forwardRead(vm, operation, attempt)
  }

  #decide (operation: Operation, isWrite: boolean): ForwardingDecision {
    const { members, servingVms } = this.#options
    const { route: { service }, workspace } = operation
    const bytes = estimateBytes(operation)
    const region = this.#findServingRegion(operation, isWrite)
    const serving = region === null ? [] : servingVms.listFor(service, region, workspace)
    this.#removeFormerVms()
    return decideForwarding({ self: members.self, region, serving, allowedRegions: operation.allowedRegions, bytes, isWrite, checkAvailability: vm => this.#client.checkAvailability(vm, bytes) })
  }

  /** Finds the region whose serving VMs run the statement: the primary's if it needs the primary, else that of this VM. */
  #findServingRegion ({ route: { service, consistency } }: Operation, isWrite: boolean): string | null {
    const { members, servingVms, findPrimaryDomain } = this.#options
    if (!isWrite && consistency !== 'primary') return members.self.region
    const failureDomain = findPrimaryDomain(service)
    return failureDomain === undefined ? null : servingVms.findRegion(failureDomain) ?? null
  }

  async #forwardWrite (vm: VmEntry, operation: Operation, attempt: ForwardAttempt): Promise<Outcome | undefined> {
    const result = await this.#client.forward(vm, operation, true)
    if (result.kind === 'outcome') return result.outcome
    this.#logFailure(vm, operation, result)
    if (result.kind === 'notRun') return await this.#runInstead(operation, attempt, result)
    return { refusal: { code: 'inDoubt', text: result.reason } }
  }

  /**
   * Forwards a read. If no answer comes in time, it runs here as well, as far as the retry budget allows; the first answer without an error
   * counts, from wherever it comes.
   */
  async #forwardRead (vm: VmEntry, operation: Operation, attempt: ForwardAttempt): Promise<Outcome | undefined> {
    const budget = this.#ensureRetryBudget(operation.route.service)
    recordRequest(budget)
    const withdrawal = new Withdrawal()
    const forwarded = this.#client.forward(vm, operation, false, withdrawal)
    operation.attempts?.add(this.#waitForForwardedEnd(operation, forwarded))
    let timer: NodeJS.Timeout | undefined
    const expired = new Promise<undefined>(resolve => { timer = setTimeout(() => resolve(undefined), this.#computeReadWaitMs(operation)) })
    const first = await Promise.race([forwarded, expired])
    clearTimeout(timer)
    if (first?.kind === 'outcome') return first.outcome
    if (first !== undefined) this.#logFailure(vm, operation, first)
    if (first?.kind === 'notRun') return await this.#runInstead(operation, attempt, first)
    const canRunAgain = computeTimeLeftMs(operation, this.#options.clock.readNow()) > 1 && spendRetry(budget)
    if (!canRunAgain) return convertToReadOutcome(first ?? await forwarded)
    const local = this.#runLocally(operation, false, withdrawal)
    try {
      return first !== undefined ? await local : await pickAnswer(forwarded, local)
    } finally {
      withdrawal.withdraw()
    }
  }

  /** Waits until a forwarded read has ended. Without an answer, it may run at its serving VM until its timeout. */
  async #waitForForwardedEnd (operation: Operation, forwarded: Promise<ForwardResult>): Promise<void> {
    const { kind } = await forwarded
    if (kind === 'noAnswer') await waitFor(computeTimeLeftMs(operation, this.#options.clock.readNow()))
  }

  /**
   * Runs a statement that a serving VM did not run: on the next serving VM if the first one is stopping, else here. If all VMs whose
   * statements it refuses ran them themselves, they would open more connections to the primary than that accepts.
   */
  async #runInstead (
    operation: Operation,
    { isWrite, isFirst }: ForwardAttempt,
    { reason, isDraining }: { reason: string, isDraining?: boolean }
  ): Promise<Outcome | undefined> {
    const timeLeftMs = computeTimeLeftMs(operation, this.#options.clock.readNow())
    if (timeLeftMs < MIN_LOCAL_RUN_MS) return createRetryRefusal('busy', reason, 0)
    const decision = isDraining === true && isFirst ? this.#decide(operation, isWrite) : undefined
    if (decision === undefined || decision.vm === null) return await this.#runLocally(operation, isWrite)
    this.#options.recordDecision(operation.route.service, 'forwarded', decision.reason)
    this.#logDecision(operation, decision)
    return await this.#forward(decision.vm, operation, { isWrite, isFirst: false })
  }

  #computeReadWaitMs (operation: Operation): number {
    const timeLeftMs = computeTimeLeftMs(operation, this.#options.clock.readNow())
    return Math.min(timeLeftMs / 2, Math.max(MIN_READ_WAIT_MS, operation.route.objectiveMs * READ_WAIT_FRACTION))
  }

  #ensureRetryBudget (service: string): RetryBudget {
    const budget = this.#retryBudgets.get(service) ?? createRetryBudget()
    this.#retryBudgets.set(service, budget)
    return budget
  }

  #removeFormerVms (): void {
    const { members } = this.#options
    if (this.#membersChecked === members.changes) return
    this.#membersChecked = members.changes
    this.#client.removeVms(vm => members.members.has(vm))
  }

  #receive (from: Hello, body: unknown): void {
    const parsed = servingMessageSchema.safeParse(body)
    if (!parsed.success) {
      this.#options.logger.warn('malformed message about a forwarded statement', { vm: from.vm, reason: parsed.error.message })
      return
    }
    const message = parsed.data
    if (message.type === 'run' || message.type === 'inquiry' || message.type === 'withdraw') this.#server.handleMessage(from, message)
    else this.#client.handleMessage(from, message)
  }

  #logDecision ({ statement, requiredState, workspace, route, receivedAtMs }: Operation, { vm, reason }: ForwardingDecision): void {
    const { logger, clock } = this.#options
    const fields = { id: statement.id, session: requiredState.session, workspace, service: route.service, reason, elapsedMs: Math.round(clock.readNow() - receivedAtMs) }
    if (vm === null) logger.info('statement runs on the vm of its client', fields)
    else logger.info('statement forwarded to a serving vm', { ...fields, vm: vm.vm, ...this.#client.describeVm(vm) })
  }

  #logFailure (vm: VmEntry, { statement, route: { service }, receivedAtMs }: Operation, result: Exclude<ForwardResult, { kind: 'outcome' }>): void {
    const { logger, clock, recordDecision } = this.#options
    recordDecision(service, 'forwarded', result.kind)
    logger.warn(result.kind === 'notRun' ? 'forwarded statement not run by its serving vm' : 'forwarded statement not answered by its serving vm', { id: statement.id, vm: vm.vm, service, reason: result.reason, elapsedMs: Math.round(clock.readNow() - receivedAtMs) })
  }
}

function convertToReadOutcome (result: ForwardResult): Outcome {
  return result.kind === 'outcome' ? result.outcome : { refusal: { code: 'timeout', text: result.reason } }
}

/** Waits for the first of two answers that has no error; if both have one, the local one counts, as it tells when to come back. */
async function pickAnswer (forwarded: Promise<ForwardResult>, local: Promise<Outcome | undefined>): Promise<Outcome | undefined> {
  return await new Promise((resolve, reject) => {
    const resolveAnswered = (outcome: Outcome | undefined): void => { if (outcome !== undefined && 'response' in outcome && outcome.response.error === null) resolve(outcome) }
    const answers = [forwarded.then(convertToReadOutcome), local]
    for (const answer of answers) answer.then(resolveAnswered, reject)
    Promise.all(answers).then(([, localOutcome]) => resolve(localOutcome), reject)
  })
}
