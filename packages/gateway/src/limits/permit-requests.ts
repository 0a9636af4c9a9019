import type { Clock, Logger } from '@camphorpitch/wire'
import type { FleetMessage, Permit, Permitted } from '../fleet/message-schemas.ts'
import type { CountingVms } from './counting-vms.ts'
import { createDemandWindow, recordDemand, sumDemand } from './demand-window.ts'
import type { QuotaCounter } from './quota-counter.ts'
import type { QuotaVerdict } from './quota.ts'

/** Timeout of a request to a counting VM while a client waits for the verdict; well above a round trip between regions. */
const RESPONSE_TIMEOUT_MS = 60
/** How long a response may take after which no client waits any more: the operation has been admitted already, or the verdict is no longer awaited. */
const BACKGROUND_RESPONSE_TIMEOUT_MS = 1_000
/** No request is sent to a counting VM for this long after it failed to respond. */
const UNRESPONSIVE_BACKOFF_MS = 1_000
/** After the counting VMs refused an operation, further ones of the workspace are refused without a request for at most this long. */
const MAX_REFUSAL_CACHE_MS = 500
/** Time after which a client should retry an operation that no counting VM could count. */
const UNCOUNTED_RETRY_AFTER_MS = 500
/** A counting VM's statement that a workspace is below its limit holds for this long. */
const BELOW_LIMIT_VALID_MS = 20_000
/** Weight of the latest count in the moving average of operations admitted in a window, from 0 to 1. */
const USUAL_COUNT_WEIGHT = 0.1

export interface PermitClientOptions {
  clock: Clock
  logger: Logger
  /** Window over which limits hold, in milliseconds. */
  windowMs: number
  counting: CountingVms
  quotas: QuotaCounter
  send: (vm: string, message: FleetMessage) => void
}

interface PendingRequest { vm: string, finish: (result: Permitted | null) => void }

/** What became of a request within the time that a client may wait. `late` resolves to a response that comes after it. */
type PermitOutcome = Permitted | { type: 'timedOut', late: Promise<Permitted | null> } | { type: 'lost' }

/** What the counting VMs' responses told about a workspace. */
interface WorkspaceState {
  /** Operations are refused without a request until then. */
  refusedUntilMs: number
  /** The workspace is taken to be below its limit until then; `null` before any counting VM has responded. */
  belowLimitUntilMs: number | null
  /** Moving average of the operations that counting VMs admitted for this VM's clients in a window. */
  usualCount: number
  /** Times at which operations were admitted that no counting VM has confirmed to have counted yet, the oldest first. */
  uncountedTimesMs: number[]
}

/**
 * Requests permits for operations from the VMs that count a workspace's limit: from the nearest first, then from the
 * others, whose shares may not be used up.
 *
 * While a workspace is well below its limit, operations are admitted optimistically, at once and with a report to a counting VM
 * afterwards, if a limit is so large that all VMs together may do so within the tolerated excess. Others wait for a response; if the
 * counting VM does not respond in time, an operation is admitted without it, up to one more in a window than this VM's usual number.
 * So slow links and lost counting VMs affect few clients, and while they respond the excess over the limit does not depend on the number of VMs.
 */
export class PermitClient {
  readonly #options: PermitClientOptions
  readonly #pending = new Map<number, PendingRequest>()
  readonly #skippedUntilMs = new Map<string, number>()
  readonly #workspaces = new Map<string, WorkspaceState>()
  readonly #admittedWindow
  #sequence = 0

  constructor (options: PermitClientOptions) {
    this.#options = options
    this.#admittedWindow = createDemandWindow(options.windowMs)
  }

  /** Decides whether an operation of the workspace is admitted. If no counting VM responds, the verdict is a refusal with `isUncounted`. */
  async request (workspace: string): Promise<QuotaVerdict> {
    const { clock, quotas } = this.#options
    const nowMs = clock.readNow()
    const state = this.#findState(workspace)
    if (nowMs < state.refusedUntilMs) return { isAdmitted: false, retryAfterMs: Math.ceil(state.refusedUntilMs - nowMs) }
    if (this.#canAdmitUncounted(workspace, state, quotas.computeUncountedPart(workspace))) {
      this.#admitOptimistically(workspace, state, nowMs)
      return { isAdmitted: true }
    }
    const outcome = await this.#requestFromAll(workspace, state)
    if (outcome === 'admitted') return { isAdmitted: true }
    if (outcome.length === 0) return { isAdmitted: false, retryAfterMs: UNCOUNTED_RETRY_AFTER_MS, isUncounted: true }
    const retryAfterMs = Math.min(...outcome)
    state.refusedUntilMs = clock.readNow() + Math.min(MAX_REFUSAL_CACHE_MS, retryAfterMs)
    return { isAdmitted: false, retryAfterMs }
  }

  /** Handles a counting VM's response, which may arrive after its request has timed out. */
  handleResponse (vm: string, response: Permitted): void {
    this.#skippedUntilMs.delete(vm) // A late response also ends the backoff: the VM runs, only its link is slow.
    const request = this.#pending.get(response.request)
    if (request?.vm === vm) request.finish(response)
  }

  /** Ends the requests that are pending at a VM after the link to it was lost, as if they had timed out. */
  handleLinkLoss (vm: string): void {
    for (const request of this.#pending.values()) if (request.vm === vm) request.finish(null)
  }

  /** Whether the workspace is below its limit, and this VM has admitted fewer than `max` operations in the window that no counting VM is known to have counted. */
  #canAdmitUncounted (workspace: string, state: WorkspaceState, max: number): boolean {
    const { windowMs, quotas, clock } = this.#options
    const nowMs = clock.readNow()
    while (nowMs - (state.uncountedTimesMs[0] ?? nowMs) >= windowMs) state.uncountedTimesMs.shift()
    const isBelowLimit = state.belowLimitUntilMs === null ? quotas.isReportedBelowLimit(workspace) : nowMs < state.belowLimitUntilMs
    return isBelowLimit && state.uncountedTimesMs.length < Math.min(max, 1 + state.usualCount)
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

  /** Admits an operation for which a permit was requested in vain; a response may still come. */
  #admitUnanswered (workspace: string, state: WorkspaceState, late?: Promise<Permitted | null>): void {
    const nowMs = this.#options.clock.readNow()
    state.uncountedTimesMs.push(nowMs)
    late?.then(response => {
      if (response?.result === 'admitted') this.#recordCounted(workspace, state, response, nowMs)
    }, () => {})
  }

  /** Records that a counting VM has counted an operation that was admitted before. */
  #recordCounted (workspace: string, state: WorkspaceState, response: Permitted, admittedAtMs: number): void {
    this.#recordResponse(workspace, state, response)
    const index = state.uncountedTimesMs.indexOf(admittedAtMs)
    if (index >= 0) state.uncountedTimesMs.splice(index, 1)
  }

  /**
   * Requests a permit from one counting VM after the other until one admits the operation. Of a workspace below its limit, an
   * operation is admitted once one did not respond in time, as it may have counted it.
   *
   * @returns `'admitted'`, or for each VM that refused, the time in milliseconds after which it would admit an operation
   */
  async #requestFromAll (workspace: string, state: WorkspaceState): Promise<'admitted' | number[]> {
    const retryDelaysMs: number[] = []
    for (const vm of this.#listTargets(workspace)) {
      const response = await this.#requestFrom(vm, { workspace, isRepeated: retryDelaysMs.length > 0, isAdmitted: false, waitMs: RESPONSE_TIMEOUT_MS })
      if (response.type === 'timedOut' && retryDelaysMs.length === 0 && this.#canAdmitUncounted(workspace, state, Infinity)) {
        this.#admitUnanswered(workspace, state, response.late)
        return 'admitted'
      }
      if (response.type !== 'permitted' || response.result === 'notCounted') continue
      this.#recordResponse(workspace, state, response)
      if (response.result === 'admitted') return 'admitted'
      retryDelaysMs.push(response.retryAfterMs ?? UNCOUNTED_RETRY_AFTER_MS)
    }
    if (retryDelaysMs.length > 0 || !this.#canAdmitUncounted(workspace, state, Infinity)) return retryDelaysMs
    this.#admitUnanswered(workspace, state)
    return 'admitted'
  }

  /** Lists the counting VMs to send a request to, nearest first, without those that failed to respond lately. */
  #listTargets (workspace: string): string[] {
    const { clock, counting } = this.#options
    return counting.listNearest(workspace).map(e => e.vm).filter(vm => clock.readNow() >= (this.#skippedUntilMs.get(vm) ?? -Infinity))
  }

  #recordResponse (workspace: string, state: WorkspaceState, response: Permitted): void {
    const nowMs = this.#options.clock.readNow()
    state.belowLimitUntilMs = response.isCalm ? nowMs + BELOW_LIMIT_VALID_MS : -Infinity
    if (response.result !== 'admitted') return
    recordDemand(this.#admittedWindow, workspace, nowMs)
    state.usualCount += USUAL_COUNT_WEIGHT * ((sumDemand(this.#admittedWindow, nowMs).get(workspace) ?? 0) - state.usualCount)
  }

  async #requestFrom (vm: string, { workspace, isRepeated, isAdmitted, waitMs }: { workspace: string, isRepeated: boolean, isAdmitted: boolean, waitMs: number }): Promise<PermitOutcome> {
    const { quotas, logger, clock } = this.#options
    const permit = { type: 'permit' as const, request: ++this.#sequence, workspace, isRepeated, isAdmitted }
    if (vm === quotas.vm) return quotas.decidePermit(permit)
    const late = this.#exchange(vm, permit)
    const outcome = await new Promise<PermitOutcome>((resolve, reject) => {
      const timer = setTimeout(() => resolve({ type: 'timedOut', late }), waitMs)
      late.finally(() => clearTimeout(timer)).then(response => resolve(response ?? { type: 'lost' }), reject)
    })
    if (outcome.type === 'permitted') return outcome
    this.#skippedUntilMs.set(vm, clock.readNow() + UNRESPONSIVE_BACKOFF_MS)
    logger.info('counting VM did not respond', { vm, workspace, backoffMs: UNRESPONSIVE_BACKOFF_MS })
    return outcome
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
      state = { refusedUntilMs: -Infinity, belowLimitUntilMs: null, usualCount: 0, uncountedTimesMs: [] }
      this.#workspaces.set(workspace, state)
    }
    return state
  }
}
