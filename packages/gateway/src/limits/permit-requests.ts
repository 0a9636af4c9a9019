import type { Clock, Logger } from '@camphorpitch/wire'
import type { FleetMessage, Permit, Permitted } from '../fleet/message-schemas.ts'
import { COUNTING_VMS_PER_LIMIT, type CountingVms } from './counting-vms.ts'
import { createDemandWindow, recordDemand, sumDemand } from './demand-window.ts'
import { BELOW_LIMIT_VALID_MS, type QuotaCounter } from './quota-counter.ts'
import type { QuotaVerdict, ShareRefusal } from './quota.ts'
import { acquireTurn, createRequestTurns, releaseTurn, type RequestTurns } from './request-turns.ts'
import {
  createUnansweredTokens,
  restoreUnansweredToken,
  spendUnansweredToken,
  updateUnansweredTokens,
  type UnansweredTokens
} from './unanswered-tokens.ts'

/** Timeout of a request to a counting VM while a client waits for the verdict; well above a round trip between regions. */
const RESPONSE_TIMEOUT_MS = 60
/** How long a response may take after which no client waits any more: the operation has been admitted already, or the verdict is no longer awaited. */
const BACKGROUND_RESPONSE_TIMEOUT_MS = 1_000
/** No request is sent to a counting VM for this long after it failed to respond in time. */
const MAX_BACKOFF_MS = 1_000
/** The same after the link to it was lost, doubled with each further loss: the request ends at once then, and a VM that starts responds soon. */
const MIN_BACKOFF_MS = 100
/**
 * After the counting VMs refused an operation of a workspace that is near its limit or above, further ones are refused without a request until each
 * VM of the fleet could have got a token, for at most this long. Otherwise requests of a workspace far above its limit take most of the counting
 * VMs' processor time.
 */
const MAX_REFUSAL_CACHE_MS = 100
/** Time after which a client should retry an operation that no counting VM could count. */
const UNCOUNTED_RETRY_AFTER_MS = 500
/** Pause between two requests while no counting VM responds: VMs that start, or members that change, take some tens of milliseconds. */
const UNCOUNTED_PAUSE_MS = 25
/** A VM that has responded within this time, a round of polls and a slow response, is taken to be slow and not lost. */
const RESPONSE_EVIDENCE_MS = 600
/** Weight of the latest count in the moving average of operations admitted in a window, from 0 to 1. */
const USUAL_COUNT_WEIGHT = 0.1
/** Smallest rate at which returns are planned, in operations per second. */
const MIN_PLANNED_RATE = 0.1
const MS_PER_SECOND = 1_000
/** Furthest return that is planned for a client that is refused without a request. */
const MAX_LOCAL_RETURN_MS = 500

async function waitFor (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

export interface PermitClientOptions {
  clock: Clock
  logger: Logger
  /** Window over which limits hold, in milliseconds. */
  windowMs: number
  counting: CountingVms
  quotas: QuotaCounter
  send: (vm: string, message: FleetMessage) => void
  /** Draws a number in [0, 1); `Math.random` by default. */
  random?: () => number
}

interface PendingRequest { vm: string, finish: (result: Permitted | null) => void }

/** What became of a request within the time that a client may wait. `late` resolves to a response that comes after it. */
type PermitOutcome = Permitted | { type: 'timedOut', late: Promise<Permitted | null> } | { type: 'lost' }

/** An operation for which permits are requested. */
interface RequestedOperation {
  workspace: string
  state: WorkspaceState
  /** Responses that admitted it after the time of their request. */
  lateTokens: Array<{ vm: string, response: Permitted }>
  /** Whether its verdict is known, so that late tokens are given back. */
  isDecided: boolean
}

/** What the counting VMs' responses told about a workspace. */
interface WorkspaceState {
  /** Operations are refused without a request until then. */
  refusedUntilMs: number
  /** Earliest time for which no return of a client is planned that was refused without a request. */
  nextReturnAtMs: number
  /** The workspace is taken to be below its limit until then; `null` before any counting VM has responded. */
  belowLimitUntilMs: number | null
  /** Whether the counting VM that responded last had so much left that operations may run before they are counted. */
  hasReserve: boolean
  turns: RequestTurns
  /** When each counting VM that had no token will have one. */
  nextTokenAtMs: Map<string, number>
  /** Moving average of the operations that counting VMs admitted for this VM's clients in a window. */
  usualCount: number
  /** Times at which operations were admitted that no counting VM has confirmed to have counted yet, the oldest first. */
  uncountedTimesMs: number[]
  /** Tokens for operations for which permits were requested in vain; `null` if that was not so in the last window. */
  unansweredTokens: UnansweredTokens | null
}

/**
 * Requests permits for operations from the VMs that count a workspace's limit: from the nearest first, then from the
 * others, whose shares may not be used up.
 *
 * While a workspace is well below its limit, operations are admitted optimistically, at once and with a report to a counting VM
 * afterwards, if a limit is so large that all VMs together may do so within the tolerated excess. Others wait for a response; if the
 * counting VM does not respond in time, an operation is admitted without it, at this VM's usual rate.
 * So slow links and lost counting VMs affect few clients, and while they respond the excess over the limit does not depend on the number of VMs.
 */
export class PermitClient {
  readonly #options: PermitClientOptions
  readonly #pending = new Map<number, PendingRequest>()
  readonly #backoffs = new Map<string, { untilMs: number, lengthMs: number }>()
  readonly #respondedAtMs = new Map<string, number>()
  readonly #workspaces = new Map<string, WorkspaceState>()
  readonly #admittedWindow
  #sequence = 0

  constructor (options: PermitClientOptions) {
    this.#options = options
    this.#admittedWindow = createDemandWindow(options.windowMs)
  }

  /**
   * Decides whether an operation of the workspace is admitted, and waits until it may run. If no counting VM responds, the verdict is a refusal
   * with `isUncounted`.
   *
   * @param maxWaitMs how long the operation may wait for its token, in milliseconds
   * @example await permits.request('lab', 100) // { isAdmitted: true, delayMs: 12 }
   */
  async request (workspace: string, maxWaitMs: number): Promise<QuotaVerdict> {
    const { clock, quotas } = this.#options
    const startedAtMs = clock.readNow()
    if (quotas.readRate(workspace) === undefined) return { isAdmitted: true, delayMs: 0 }
    const state = this.#findState(workspace)
    if (startedAtMs < state.refusedUntilMs) return { isAdmitted: false, retryAfterMs: this.#planReturn(workspace, state, startedAtMs) }
    if (state.hasReserve && this.#canAdmitUncounted(workspace, state, Math.floor(quotas.computeUncountedPart(workspace)))) {
      this.#admitOptimistically(workspace, state, startedAtMs)
      return { isAdmitted: true, delayMs: 0 }
    }
    const outcome = await this.#requestInTurn(workspace, state, startedAtMs + maxWaitMs)
    if (outcome.isAdmitted && outcome.delayMs > 0) await waitFor(outcome.delayMs)
    return outcome
  }

  /** Requests a permit when it is the operation's turn. While no counting VM responds, the request is repeated until the operation may not wait any longer. */
  async #requestInTurn (workspace: string, state: WorkspaceState, endMs: number): Promise<QuotaVerdict> {
    const { clock } = this.#options
    if (!await acquireTurn(state.turns, endMs - clock.readNow())) return { isAdmitted: false, retryAfterMs: UNCOUNTED_RETRY_AFTER_MS, isUncounted: true }
    const operation: RequestedOperation = { workspace, state, lateTokens: [], isDecided: false }
    try {
      for (;;) {
        const outcome = await this.#requestFromAll(operation, Math.max(0, endMs - clock.readNow()))
        const verdict = outcome.isAdmitted ? outcome : this.#acquireLateToken(operation) ?? outcome
        if (verdict.isAdmitted || verdict.isUncounted !== true || clock.readNow() + UNCOUNTED_PAUSE_MS > endMs) return verdict
        await waitFor(UNCOUNTED_PAUSE_MS)
        const late = this.#acquireLateToken(operation)
        if (late !== undefined) return late
      }
    } finally {
      releaseTurn(state.turns)
      operation.isDecided = true
      for (const { vm, response } of operation.lateTokens) this.#releaseToken(vm, workspace, response)
    }
  }

  /** Keeps the token of a response that comes too late for its request while the operation waits, and gives it back afterwards. */
  #collectLateToken (operation: RequestedOperation, vm: string, late: Promise<Permitted | null>): void {
    late.then(response => {
      if (response?.result !== 'admitted') return
      if (operation.isDecided) this.#releaseToken(vm, operation.workspace, response)
      else operation.lateTokens.push({ vm, response })
    }, () => {})
  }

  #acquireLateToken ({ workspace, state, lateTokens }: RequestedOperation): QuotaVerdict | undefined {
    const token = lateTokens.shift()
    if (token === undefined) return undefined
    this.#recordResponse(workspace, state, token.response)
    return { isAdmitted: true, delayMs: token.response.delayMs ?? 0 }
  }

  /** Gives back the token of an operation that has not run. A VM that has just started answers late, and counts most operations in vain. */
  #releaseToken (vm: string, workspace: string, { countedAtMs }: Permitted): void {
    if (countedAtMs !== undefined) this.#options.send(vm, { type: 'permitReleased', workspace, countedAtMs })
  }

  /** Plans the return of a client that is refused without a request, behind those that were refused before, at the counting VM's share of the rate. */
  #planReturn (workspace: string, state: WorkspaceState, nowMs: number): number {
    const returnAtMs = Math.max(state.refusedUntilMs, state.nextReturnAtMs)
    const ratePerSecond = Math.max(MIN_PLANNED_RATE, (this.#options.quotas.readRate(workspace) ?? 0) / COUNTING_VMS_PER_LIMIT)
    state.nextReturnAtMs = Math.min(returnAtMs + MS_PER_SECOND / ratePerSecond, state.refusedUntilMs + MAX_LOCAL_RETURN_MS)
    return Math.ceil(returnAtMs - nowMs)
  }

  /** Handles a counting VM's response, which may arrive after its request has timed out. */
  handleResponse (vm: string, response: Permitted): void {
    this.#respondedAtMs.set(vm, this.#options.clock.readNow())
    this.#backoffs.delete(vm) // A late response also ends the backoff: the VM runs, only its link is slow.
    const request = this.#pending.get(response.request)
    if (request?.vm === vm) request.finish(response)
  }

  /** Ends the requests that are pending at a VM after the link to it was lost, as if they had timed out. */
  handleLinkLoss (vm: string): void {
    for (const request of this.#pending.values()) if (request.vm === vm) request.finish(null)
  }

  /** Whether the workspace is below its limit, and this VM has admitted fewer than `max` operations in the window that no counting VM is known to have counted. */
  #canAdmitUncounted (workspace: string, state: WorkspaceState, max: number): boolean {
    const { windowMs, clock } = this.#options
    const nowMs = clock.readNow()
    while (nowMs - (state.uncountedTimesMs[0] ?? nowMs) >= windowMs) state.uncountedTimesMs.shift()
    return this.#isBelowLimit(workspace, state, nowMs) && state.uncountedTimesMs.length < Math.min(max, 1 + state.usualCount)
  }

  #isBelowLimit (workspace: string, { belowLimitUntilMs }: WorkspaceState, nowMs: number): boolean {
    return belowLimitUntilMs === null ? this.#options.quotas.isReportedBelowLimit(workspace) : nowMs < belowLimitUntilMs
  }

  /** Reports an operation that is already admitted to a counting VM or, if that does not respond or does not count the limit, to the next one. */
  #admitOptimistically (workspace: string, state: WorkspaceState, nowMs: number): void {
    state.uncountedTimesMs.push(nowMs)
    const reportToCountingVm = async (): Promise<void> => {
      for (const vm of this.#listTargets(workspace)) {
        const response = await this.#requestFrom(vm, { workspace, isRepeated: false, isAdmitted: true, waitMs: BACKGROUND_RESPONSE_TIMEOUT_MS })
        if (response.type !== 'permitted' || response.result === 'notCounted') continue
        this.#recordCounted(workspace, state, response, nowMs)
        return
      }
    }
    reportToCountingVm().catch((error: unknown) => this.#options.logger.error('reporting an admitted operation failed', { workspace, error: String(error) }))
  }

  /**
   * Admits an operation for which a permit was requested in vain, if the workspace is below its limit and this VM has a token for it.
   *
   * @param late resolves to a response that comes too late
   * @returns `undefined` if it is not admitted
   */
  #admitUnanswered (workspace: string, state: WorkspaceState, late?: Promise<Permitted | null>): QuotaVerdict | undefined {
    const nowMs = this.#options.clock.readNow()
    if (!this.#isBelowLimit(workspace, state, nowMs)) return undefined
    const tokens = this.#updateUnansweredTokens(workspace, state, nowMs)
    if (!spendUnansweredToken(tokens)) return undefined
    state.uncountedTimesMs.push(nowMs)
    late?.then(response => {
      if (response?.result !== 'admitted') return
      restoreUnansweredToken(tokens)
      this.#recordCounted(workspace, state, response, nowMs)
    }, () => {})
    return { isAdmitted: true, delayMs: 0 }
  }

  /** Updates the tokens for operations without a response, or creates them if the last such operation was a window ago. */
  #updateUnansweredTokens (workspace: string, state: WorkspaceState, nowMs: number): UnansweredTokens {
    const { windowMs, quotas, counting, random = Math.random } = this.#options
    const isOver = state.unansweredTokens === null || nowMs - state.unansweredTokens.updatedAtMs >= windowMs
    const tokens = isOver ? createUnansweredTokens(random(), nowMs) : state.unansweredTokens!
    // A VM that responds late tells whether it has counted the operation, so that one at a time is within what it counts.
    const isSlow = counting.listNearest(workspace).some(({ vm }) => this.#hasResponded(vm, nowMs - RESPONSE_EVIDENCE_MS))
    updateUnansweredTokens(tokens, state.usualCount / windowMs, isSlow ? 1 : quotas.computeSilentPart(workspace), nowMs)
    state.unansweredTokens = tokens
    return tokens
  }

  /** Whether a VM has responded to a request of this VM or to a poll since then. */
  #hasResponded (vm: string, sinceMs: number): boolean {
    return (this.#respondedAtMs.get(vm) ?? -Infinity) >= sinceMs || this.#options.quotas.hasAnsweredPoll(vm, sinceMs)
  }

  /** Records that a counting VM has counted an operation that was admitted before. */
  #recordCounted (workspace: string, state: WorkspaceState, response: Permitted, admittedAtMs: number): void {
    this.#recordResponse(workspace, state, response)
    const index = state.uncountedTimesMs.indexOf(admittedAtMs)
    if (index >= 0) state.uncountedTimesMs.splice(index, 1)
  }

  /**
   * Requests a permit from one counting VM after the other until one has a token. If none has, the operation waits for the next token of the
   * VM that has one first, if that is soon enough. Of a workspace below its limit, an operation is admitted once a VM did not respond in time,
   * as it may have counted it.
   */
  async #requestFromAll (operation: RequestedOperation, maxWaitMs: number): Promise<QuotaVerdict> {
    const { clock } = this.#options
    const { workspace, state } = operation
    const startedAtMs = clock.readNow()
    const refusals: ShareRefusal[] = []
    let wasRequested = false
    for (const vm of this.#listTargets(workspace)) {
      const nextTokenInMs = (state.nextTokenAtMs.get(vm) ?? -Infinity) - clock.readNow()
      if (nextTokenInMs > 0) {
        refusals.push({ vm, retryAfterMs: Math.ceil(nextTokenInMs) })
        continue
      }
      const response = await this.#requestFrom(vm, { workspace, isRepeated: wasRequested, isAdmitted: false, waitMs: RESPONSE_TIMEOUT_MS })
      wasRequested = true
      const isFirstUnanswered = response.type === 'timedOut' && refusals.length === 0
      const unanswered = isFirstUnanswered ? this.#admitUnanswered(workspace, state, response.late) : undefined
      if (unanswered !== undefined) return unanswered
      if (response.type === 'timedOut') this.#collectLateToken(operation, vm, response.late)
      if (response.type !== 'permitted' || response.result === 'notCounted') continue
      this.#recordResponse(workspace, state, response)
      if (response.result === 'admitted') return { isAdmitted: true, delayMs: 0 }
      const retryAfterMs = response.retryAfterMs ?? UNCOUNTED_RETRY_AFTER_MS
      state.nextTokenAtMs.set(vm, clock.readNow() + Math.min(MAX_LOCAL_RETURN_MS, retryAfterMs))
      refusals.push({ vm, retryAfterMs, tokensLeft: response.tokensLeft })
    }
    const endMs = startedAtMs + maxWaitMs
    if (refusals.length > 0) return await this.#requestNextToken(operation, { refusals, isRepeated: wasRequested, endMs })
    return this.#admitUnanswered(workspace, state) ?? { isAdmitted: false, retryAfterMs: UNCOUNTED_RETRY_AFTER_MS, isUncounted: true }
  }

  /**
   * Requests the next token from the counting VMs, from the one that has one first. If it comes too late at each of them, the last one plans when the
   * client should return.
   */
  async #requestNextToken (
    operation: RequestedOperation,
    { refusals, isRepeated, endMs }: { refusals: ShareRefusal[], isRepeated: boolean, endMs: number }
  ): Promise<QuotaVerdict> {
    const { clock, quotas } = this.#options
    const { workspace, state } = operation
    const byTime = refusals.sort((a, b) => a.retryAfterMs - b.retryAfterMs)
    let retryAfterMs = byTime[0]!.retryAfterMs
    for (const [i, { vm }] of byTime.entries()) {
      const maxDelayMs = Math.max(0, endMs - clock.readNow())
      const response = await this.#requestFrom(vm, { workspace, isRepeated: isRepeated || i > 0, isAdmitted: false, maxDelayMs, plansReturn: i === byTime.length - 1, waitMs: RESPONSE_TIMEOUT_MS })
      if (response.type === 'timedOut') this.#collectLateToken(operation, vm, response.late)
      if (response.type !== 'permitted') continue
      if (response.result === 'admitted') {
        this.#recordResponse(workspace, state, response)
        return { isAdmitted: true, delayMs: response.delayMs ?? 0 }
      }
      retryAfterMs = response.retryAfterMs ?? retryAfterMs
    }
    const isPressed = state.belowLimitUntilMs === -Infinity
    if (isPressed) state.refusedUntilMs = clock.readNow() + Math.min(MAX_REFUSAL_CACHE_MS, quotas.computeTokenIntervalMs(workspace))
    return { isAdmitted: false, retryAfterMs, refusals }
  }

  /** Lists the counting VMs to send a request to, nearest first, without those that failed to respond lately. */
  #listTargets (workspace: string): string[] {
    const { clock, counting } = this.#options
    return counting.listNearest(workspace).map(e => e.vm).filter(vm => clock.readNow() >= (this.#backoffs.get(vm)?.untilMs ?? -Infinity))
  }

  #recordResponse (workspace: string, state: WorkspaceState, response: Permitted): void {
    const nowMs = this.#options.clock.readNow()
    state.belowLimitUntilMs = response.isBelowLimit ? nowMs + BELOW_LIMIT_VALID_MS : -Infinity
    state.hasReserve = response.hasReserve
    if (response.result !== 'admitted') return
    // Without this operation: what operations find before them is, in the mean, what a window holds.
    state.usualCount += USUAL_COUNT_WEIGHT * ((sumDemand(this.#admittedWindow, nowMs).get(workspace) ?? 0) - state.usualCount)
    recordDemand(this.#admittedWindow, workspace, nowMs)
  }

  async #requestFrom (vm: string, { waitMs, ...operation }: Omit<Permit, 'type' | 'request'> & { waitMs: number }): Promise<PermitOutcome> {
    const { quotas } = this.#options
    const permit = { type: 'permit' as const, request: ++this.#sequence, ...operation }
    if (vm === quotas.vm) return quotas.decidePermit(vm, permit)
    const late = this.#exchange(vm, permit)
    const outcome = await new Promise<PermitOutcome>((resolve, reject) => {
      const timer = setTimeout(() => resolve({ type: 'timedOut', late }), waitMs)
      late.finally(() => clearTimeout(timer)).then(response => resolve(response ?? { type: 'lost' }), reject)
    })
    if (outcome.type !== 'permitted') this.#recordBackoff(vm, operation.workspace, outcome.type)
    return outcome
  }

  #recordBackoff (vm: string, workspace: string, reason: 'timedOut' | 'lost'): void {
    const { logger, clock } = this.#options
    const lengthMs = reason === 'timedOut' ? MAX_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, 2 * (this.#backoffs.get(vm)?.lengthMs ?? MIN_BACKOFF_MS / 2))
    this.#backoffs.set(vm, { untilMs: clock.readNow() + lengthMs, lengthMs })
    logger.info('counting VM did not respond', { vm, workspace, reason, backoffMs: lengthMs })
  }

  /** Sends a request and waits for the response. @returns `null` if there was none in time, or the link was lost */
  async #exchange (vm: string, permit: Permit): Promise<Permitted | null> {
    return await new Promise(resolve => {
      const finish = (result: Permitted | null): void => {
        clearTimeout(timer)
        this.#pending.delete(permit.request)
        resolve(result)
      }
      const timer = setTimeout(() => finish(null), BACKGROUND_RESPONSE_TIMEOUT_MS)
      this.#pending.set(permit.request, { vm, finish })
      this.#options.send(vm, permit)
    })
  }

  #findState (workspace: string): WorkspaceState {
    let state = this.#workspaces.get(workspace)
    if (state === undefined) {
      state = {
        refusedUntilMs: -Infinity,
        nextReturnAtMs: -Infinity,
        belowLimitUntilMs: null,
        hasReserve: true,
        turns: createRequestTurns(),
        nextTokenAtMs: new Map(),
        usualCount: 0,
        uncountedTimesMs: [],
        unansweredTokens: null
      }
      this.#workspaces.set(workspace, state)
    }
    return state
  }
}
