import type { Clock, Logger } from '@camphorpitch/wire'
import type { FleetMessage, Permitted } from '../fleet/messages.ts'
import type { CountingVms } from './counting-vms.ts'
import { createDemandWindow, recordDemand, sumDemand } from './demand-window.ts'
import type { QuotaKeeper } from './quota-keeper.ts'
import type { QuotaVerdict } from './quota.ts'

/** Longest wait for a counting VM's answer while the client waits, in milliseconds; well above a round trip between regions. */
const ANSWER_WAIT_MS = 60
/** The same where no client waits, in milliseconds. */
const LATE_ANSWER_WAIT_MS = 1_000
/** A VM that has not answered is not asked for this long, in milliseconds. */
const AVOID_MS = 1_000
/** A refusal by all counting VMs is repeated without asking for this long at most, in milliseconds. */
const MOST_REMEMBERED_MS = 500
/** When an operation that nobody could count is worth repeating, in milliseconds. */
const UNCOUNTED_RETRY_MS = 500
/** A workspace counts as calm for this long after a counting VM said so, in milliseconds. */
const CALM_LIFE_MS = 20_000
/** Part by which the usual number of operations follows the latest one. */
const USUAL_GAIN = 0.1

export interface PermitRequestsOptions {
  clock: Clock
  logger: Logger
  windowMs: number
  counting: CountingVms
  quotas: QuotaKeeper
  send: (vm: string, message: FleetMessage) => void
}

interface OpenRequest { vm: string, finish: (answer: Permitted | null) => void }

/** What was last heard on a workspace. */
interface WorkspaceState {
  refusedUntilMs: number
  /** `null` before any counting VM has answered. */
  calmUntilMs: number | null
  /** Operations in a window that this VM's clients have usually been admitted. */
  usual: number
  /** When each operation was admitted that no counting VM is known to have counted, the oldest first. */
  uncountedAtMs: number[]
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
  readonly #open = new Map<number, OpenRequest>()
  readonly #avoidedUntilMs = new Map<string, number>()
  readonly #workspaces = new Map<string, WorkspaceState>()
  readonly #admitted
  #sequence = 0

  constructor (options: PermitRequestsOptions) {
    this.#options = options
    this.#admitted = createDemandWindow(options.windowMs)
  }

  async request (workspace: string): Promise<QuotaVerdict> {
    const { clock } = this.#options
    const nowMs = clock.readNow()
    const state = this.#findState(workspace)
    if (nowMs < state.refusedUntilMs) return { isAdmitted: false, retryAfterMs: Math.ceil(state.refusedUntilMs - nowMs) }
    if (this.#canAdmitAhead(workspace, state, nowMs)) {
      this.#admitAhead(workspace, state, nowMs)
      return { isAdmitted: true }
    }
    const refusals = await this.#requestFromAll(workspace, state)
    if (refusals === 'admitted') return { isAdmitted: true }
    if (refusals.length === 0) return { isAdmitted: false, retryAfterMs: UNCOUNTED_RETRY_MS, isUncounted: true }
    const retryAfterMs = Math.min(...refusals)
    state.refusedUntilMs = clock.readNow() + Math.min(MOST_REMEMBERED_MS, retryAfterMs)
    return { isAdmitted: false, retryAfterMs }
  }

  handleAnswer (vm: string, answer: Permitted): void {
    this.#avoidedUntilMs.delete(vm) // Also by a late answer: the VM runs, and its link is slow.
    const request = this.#open.get(answer.request)
    if (request?.vm === vm) request.finish(answer)
  }

  /** Takes in that the link to a VM is lost: what it was asked gets no answer. */
  handleLoss (vm: string): void {
    for (const request of this.#open.values()) if (request.vm === vm) request.finish(null)
  }

  #canAdmitAhead (workspace: string, state: WorkspaceState, nowMs: number): boolean {
    const { windowMs, quotas } = this.#options
    while (nowMs - (state.uncountedAtMs[0] ?? nowMs) >= windowMs) state.uncountedAtMs.shift()
    const isCalm = state.calmUntilMs === null ? quotas.isReportedCalm(workspace) : nowMs < state.calmUntilMs
    return isCalm && state.uncountedAtMs.length < 1 + state.usual
  }

  /** Tells a counting VM, the next one if that does not answer, of an operation that is admitted already. */
  #admitAhead (workspace: string, state: WorkspaceState, nowMs: number): void {
    state.uncountedAtMs.push(nowMs)
    const requestNext = async (): Promise<void> => {
      for (const vm of this.#listAsked(workspace)) {
        const answer = await this.#requestFrom(vm, { workspace, isRepeated: false, isAdmitted: true, waitMs: LATE_ANSWER_WAIT_MS })
        if (answer === null || answer.result === 'notCounted') continue
        this.#recordAnswer(workspace, state, answer)
        const index = state.uncountedAtMs.indexOf(nowMs)
        if (index >= 0) state.uncountedAtMs.splice(index, 1)
        return
      }
    }
    requestNext().catch((error: unknown) => this.#options.logger.error('operation not counted', { workspace, error: String(error) }))
  }

  /** @returns `'admitted'`, or when each VM that refused would admit one, in milliseconds */
  async #requestFromAll (workspace: string, state: WorkspaceState): Promise<'admitted' | number[]> {
    const refusals: number[] = []
    for (const vm of this.#listAsked(workspace)) {
      const answer = await this.#requestFrom(vm, { workspace, isRepeated: refusals.length > 0, isAdmitted: false, waitMs: ANSWER_WAIT_MS })
      if (answer === null || answer.result === 'notCounted') continue
      this.#recordAnswer(workspace, state, answer)
      if (answer.result === 'admitted') return 'admitted'
      refusals.push(answer.retryAfterMs ?? UNCOUNTED_RETRY_MS)
    }
    return refusals
  }

  #listAsked (workspace: string): string[] {
    const { clock, counting } = this.#options
    return counting.listNearest(workspace).map(e => e.vm).filter(vm => clock.readNow() >= (this.#avoidedUntilMs.get(vm) ?? -Infinity))
  }

  #recordAnswer (workspace: string, state: WorkspaceState, answer: Permitted): void {
    const nowMs = this.#options.clock.readNow()
    state.calmUntilMs = answer.isCalm ? nowMs + CALM_LIFE_MS : -Infinity
    if (answer.result !== 'admitted') return
    recordDemand(this.#admitted, workspace, nowMs)
    state.usual += USUAL_GAIN * ((sumDemand(this.#admitted, nowMs).get(workspace) ?? 0) - state.usual)
  }

  async #requestFrom (vm: string, { workspace, isRepeated, isAdmitted, waitMs }: { workspace: string, isRepeated: boolean, isAdmitted: boolean, waitMs: number }): Promise<Permitted | null> {
    const { quotas, send, logger, clock } = this.#options
    const request = ++this.#sequence
    const permit = { type: 'permit' as const, request, workspace, isRepeated, isAdmitted }
    if (vm === quotas.vm) return quotas.answerPermit(permit)
    const answer = await new Promise<Permitted | null>(resolve => {
      const finish = (value: Permitted | null): void => {
        clearTimeout(timer)
        this.#open.delete(request)
        resolve(value)
      }
      const timer = setTimeout(() => finish(null), waitMs)
      this.#open.set(request, { vm, finish })
      send(vm, permit)
    })
    if (answer !== null) return answer
    this.#avoidedUntilMs.set(vm, clock.readNow() + AVOID_MS)
    logger.info('counting vm not answering', { vm, workspace, avoidedMs: AVOID_MS })
    return null
  }

  #findState (workspace: string): WorkspaceState {
    let state = this.#workspaces.get(workspace)
    if (state === undefined) {
      state = { refusedUntilMs: -Infinity, calmUntilMs: null, usual: 0, uncountedAtMs: [] }
      this.#workspaces.set(workspace, state)
    }
    return state
  }
}
