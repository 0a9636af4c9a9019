import type { Clock, Logger } from '@camphorpitch/wire'
import type { FleetMessage, Permitted } from '../fleet/messages.ts'
import type { CountingVms } from './counting-vms.ts'
import { createDemandWindow, recordDemand, sumDemand } from './demand-window.ts'
import type { QuotaKeeper } from './quota-keeper.ts'
import type { QuotaVerdict } from './quota.ts'

/** Longest wait for a counting VM's answer while the client waits, in milliseconds; well above a round trip between regions. */
const RESPONSE_TIMEOUT_MS = 60
/** The same where no client waits, in milliseconds. */
const BACKGROUND_RESPONSE_TIMEOUT_MS = 1_000
/** A VM that has not answered is not asked for this long, in milliseconds. */
const UNRESPONSIVE_BACKOFF_MS = 1_000
/** A refusal by all counting VMs is repeated without asking for this long at most, in milliseconds. */
const MAX_REFUSAL_CACHE_MS = 500
/** When an operation that nobody could count is worth repeating, in milliseconds. */
const UNCOUNTED_RETRY_AFTER_MS = 500
/** A workspace counts as calm for this long after a counting VM said so, in milliseconds. */
const BELOW_LIMIT_VALID_MS = 20_000
/** Part by which the usual number of operations follows the latest one. */
const USUAL_COUNT_WEIGHT = 0.1

export interface PermitRequestsOptions {
  clock: Clock
  logger: Logger
  windowMs: number
  counting: CountingVms
  quotas: QuotaKeeper
  send: (vm: string, message: FleetMessage) => void
}

interface PendingRequest { vm: string, finish: (result: Permitted | null) => void }

/** What was last heard on a workspace. */
interface WorkspaceState {
  refusedUntilMs: number
  /** `null` before any counting VM has answered. */
  belowLimitUntilMs: number | null
  /** Operations in a window that this VM's clients have usually been admitted. */
  usualCount: number
  /** When each operation was admitted that no counting VM is known to have counted, the oldest first. */
  uncountedTimesMs: number[]
}

/**
 * Asks the VMs that count a workspace's limit to admit an operation: the nearest first, then the others,
 * as their parts may not be used up.
 *
 * While a workspace asks for well below its limit its operations are admitted at once and only told to a
 * counting VM. This goes on as long as answers come; without, for no more than was usual here in a window,
 * so that slow links and lost counting VMs harm few callers and a limit stays bounded.
 */
export class PermitRequests {
  readonly #options: PermitRequestsOptions
  readonly #pending = new Map<number, PendingRequest>()
  readonly #skippedUntilMs = new Map<string, number>()
  readonly #workspaces = new Map<string, WorkspaceState>()
  readonly #admittedWindow
  #sequence = 0

  constructor (options: PermitRequestsOptions) {
    this.#options = options
    this.#admittedWindow = createDemandWindow(options.windowMs)
  }

  async request (workspace: string): Promise<QuotaVerdict> {
    const { clock } = this.#options
    const nowMs = clock.readNow()
    const state = this.#findState(workspace)
    if (nowMs < state.refusedUntilMs) return { isAdmitted: false, retryAfterMs: Math.ceil(state.refusedUntilMs - nowMs) }
    if (this.#canAdmitOptimistically(workspace, state, nowMs)) {
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

  handleAnswer (vm: string, response: Permitted): void {
    this.#skippedUntilMs.delete(vm) // Also by a late answer: the VM runs, and its link is slow.
    const request = this.#pending.get(response.request)
    if (request?.vm === vm) request.finish(response)
  }

  /** Takes in that the link to a VM is lost: what it was asked gets no answer. */
  handleLoss (vm: string): void {
    for (const request of this.#pending.values()) if (request.vm === vm) request.finish(null)
  }

  #canAdmitOptimistically (workspace: string, state: WorkspaceState, nowMs: number): boolean {
    const { windowMs, quotas } = this.#options
    while (nowMs - (state.uncountedTimesMs[0] ?? nowMs) >= windowMs) state.uncountedTimesMs.shift()
    const isBelowLimit = state.belowLimitUntilMs === null ? quotas.isReportedBelowLimit(workspace) : nowMs < state.belowLimitUntilMs
    return isBelowLimit && state.uncountedTimesMs.length < 1 + state.usualCount
  }

  /** Tells a counting VM, the next one if that does not answer, of an operation that is admitted already. */
  #admitOptimistically (workspace: string, state: WorkspaceState, nowMs: number): void {
    state.uncountedTimesMs.push(nowMs)
    const requestNext = async (): Promise<void> => {
      for (const vm of this.#listTargets(workspace)) {
        const response = await this.#requestFrom(vm, { workspace, isRepeated: false, isAdmitted: true, waitMs: BACKGROUND_RESPONSE_TIMEOUT_MS })
        if (response === null || response.result === 'notCounted') continue
        this.#recordResponse(workspace, state, response)
        const index = state.uncountedTimesMs.indexOf(nowMs)
        if (index >= 0) state.uncountedTimesMs.splice(index, 1)
        return
      }
    }
    requestNext().catch((error: unknown) => this.#options.logger.error('operation not counted', { workspace, error: String(error) }))
  }

  /** @returns `'admitted'`, or when each VM that refused would admit one, in milliseconds */
  async #requestFromAll (workspace: string, state: WorkspaceState): Promise<'admitted' | number[]> {
    const retryDelaysMs: number[] = []
    for (const vm of this.#listTargets(workspace)) {
      const response = await this.#requestFrom(vm, { workspace, isRepeated: retryDelaysMs.length > 0, isAdmitted: false, waitMs: RESPONSE_TIMEOUT_MS })
      if (response === null || response.result === 'notCounted') continue
      this.#recordResponse(workspace, state, response)
      if (response.result === 'admitted') return 'admitted'
      retryDelaysMs.push(response.retryAfterMs ?? UNCOUNTED_RETRY_AFTER_MS)
    }
    return retryDelaysMs
  }

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

  async #requestFrom (vm: string, { workspace, isRepeated, isAdmitted, waitMs }: { workspace: string, isRepeated: boolean, isAdmitted: boolean, waitMs: number }): Promise<Permitted | null> {
    const { quotas, send, logger, clock } = this.#options
    const request = ++this.#sequence
    const permit = { type: 'permit' as const, request, workspace, isRepeated, isAdmitted }
    if (vm === quotas.vm) return quotas.answerPermit(permit)
    const response = await new Promise<Permitted | null>(resolve => {
      const finish = (response: Permitted | null): void => {
        clearTimeout(timer)
        this.#pending.delete(request)
        resolve(response)
      }
      const timer = setTimeout(() => finish(null), waitMs)
      this.#pending.set(request, { vm, finish })
      send(vm, permit)
    })
    if (response !== null) return response
    this.#skippedUntilMs.set(vm, clock.readNow() + UNRESPONSIVE_BACKOFF_MS)
    logger.info('counting vm not answering', { vm, workspace, avoidedMs: UNRESPONSIVE_BACKOFF_MS })
    return null
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
