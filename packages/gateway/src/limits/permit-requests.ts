import { createBucket, countAvailable, reserveTokens, spendReserved, type Clock, type Logger, type TokenBucket } from '@camphorpitch/wire'
import type { FleetMessage, Permitted } from '../fleet/messages.ts'
import type { CountingVms } from './counting-vms.ts'
import { createDemandWindow, recordDemand, sumDemand } from './demand-window.ts'
import type { QuotaKeeper } from './quota-keeper.ts'
import type { QuotaVerdict } from './quota.ts'

/** Longest wait for a counting VM's answer, in milliseconds; well above a round trip between regions. */
const ANSWER_WAIT_MS = 60
/** A VM that has not answered is not asked for this long, in milliseconds. */
const AVOID_MS = 1_000
/** A refusal by all counting VMs is repeated without asking for this long at most, in milliseconds. */
const MOST_REMEMBERED_MS = 500
/** When an operation that nobody could count is worth repeating, in milliseconds. */
const UNCOUNTED_RETRY_MS = 500
/** A workspace counts as calm for this long after a counting VM said so, in milliseconds. */
const CALM_LIFE_MS = 20_000

export interface PermitRequestsOptions {
  clock: Clock
  logger: Logger
  windowMs: number
  counting: CountingVms
  quotas: QuotaKeeper
  send: (vm: string, message: FleetMessage) => void
}

interface OpenRequest { vm: string, finish: (answer: Permitted | null) => void }

/** What was last heard on a workspace, and what this VM may admit of it while no counting VM answers. */
interface WorkspaceState {
  refusedUntilMs: number
  calmUntilMs: number
  uncounted: TokenBucket | null
}

/**
 * Asks the VMs that count a workspace's limit to admit an operation: the nearest first, then the others,
 * as their parts may not be used up.
 *
 * While none of them answers, a workspace that was calm goes on as this VM was used to from it.
 */
export class PermitRequests {
  readonly #options: PermitRequestsOptions
  readonly #open = new Map<number, OpenRequest>()
  readonly #avoidedUntilMs = new Map<string, number>()
  readonly #workspaces = new Map<string, WorkspaceState>()
  readonly #asked
  #sequence = 0

  constructor (options: PermitRequestsOptions) {
    this.#options = options
    this.#asked = createDemandWindow(options.windowMs)
  }

  async request (workspace: string): Promise<QuotaVerdict> {
    const { clock } = this.#options
    const nowMs = clock.readNow()
    recordDemand(this.#asked, workspace, nowMs)
    const state = this.#findState(workspace)
    if (nowMs < state.refusedUntilMs) return { isAdmitted: false, retryAfterMs: Math.ceil(state.refusedUntilMs - nowMs) }
    const refusals = await this.#requestFromAll(workspace, state)
    if (refusals === 'admitted') return { isAdmitted: true }
    const answeredAtMs = clock.readNow()
    if (refusals.length === 0) return this.#admitUncounted(workspace, state, answeredAtMs)
    const retryAfterMs = Math.min(...refusals)
    state.refusedUntilMs = answeredAtMs + Math.min(MOST_REMEMBERED_MS, retryAfterMs)
    return { isAdmitted: false, retryAfterMs }
  }

  handleAnswer (vm: string, answer: Permitted): void {
    const request = this.#open.get(answer.request)
    if (request?.vm === vm) request.finish(answer)
  }

  /** Takes in that the link to a VM is lost: what it was asked gets no answer. */
  handleLoss (vm: string): void {
    for (const request of this.#open.values()) if (request.vm === vm) request.finish(null)
  }

  /** @returns `'admitted'`, or when each VM that refused would admit one, in milliseconds */
  async #requestFromAll (workspace: string, state: WorkspaceState): Promise<'admitted' | number[]> {
    const { clock, counting } = this.#options
    const refusals: number[] = []
    for (const { vm } of counting.listNearest(workspace)) {
      if (clock.readNow() < (this.#avoidedUntilMs.get(vm) ?? -Infinity)) continue
      const answer = await this.#requestFrom(vm, workspace, refusals.length > 0)
      if (answer === null || answer.result === 'notCounted') continue
      state.uncounted = null
      state.calmUntilMs = answer.isCalm ? clock.readNow() + CALM_LIFE_MS : -Infinity
      if (answer.result === 'admitted') return 'admitted'
      refusals.push(answer.retryAfterMs ?? UNCOUNTED_RETRY_MS)
    }
    return refusals
  }

  async #requestFrom (vm: string, workspace: string, isRepeated: boolean): Promise<Permitted | null> {
    const { quotas, send, logger, clock } = this.#options
    const request = ++this.#sequence
    if (vm === quotas.vm) return quotas.answerPermit({ type: 'permit', request, workspace, isRepeated })
    const answer = await new Promise<Permitted | null>(resolve => {
      const finish = (value: Permitted | null): void => {
        clearTimeout(timer)
        this.#open.delete(request)
        resolve(value)
      }
      const timer = setTimeout(() => finish(null), ANSWER_WAIT_MS)
      this.#open.set(request, { vm, finish })
      send(vm, { type: 'permit', request, workspace, isRepeated })
    })
    if (answer !== null) return answer
    this.#avoidedUntilMs.set(vm, clock.readNow() + AVOID_MS)
    logger.info('counting vm not answering', { vm, workspace, avoidedMs: AVOID_MS })
    return null
  }

  #findState (workspace: string): WorkspaceState {
    let state = this.#workspaces.get(workspace)
    if (state === undefined) {
      state = { refusedUntilMs: -Infinity, calmUntilMs: -Infinity, uncounted: null }
      this.#workspaces.set(workspace, state)
    }
    return state
  }

  #admitUncounted (workspace: string, state: WorkspaceState, nowMs: number): QuotaVerdict {
    if (nowMs >= state.calmUntilMs) return { isAdmitted: false, retryAfterMs: UNCOUNTED_RETRY_MS }
    if (state.uncounted === null) {
      const usual = Math.max(1, sumDemand(this.#asked, nowMs).get(workspace) ?? 0)
      const rate = usual / this.#options.windowMs
      state.uncounted = createBucket(rate, 1, nowMs - 1 / rate)
    }
    if (countAvailable(state.uncounted, nowMs) < 1) return { isAdmitted: false, retryAfterMs: UNCOUNTED_RETRY_MS }
    reserveTokens(state.uncounted, 1)
    spendReserved(state.uncounted, 1, nowMs)
    return { isAdmitted: true }
  }
}
