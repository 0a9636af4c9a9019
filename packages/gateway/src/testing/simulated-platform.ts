import type { PromotionOrder, PromotionResult } from '../backend/promoter.ts'
import type { SimulatedGroup } from './simulated-group.ts'
import type { VirtualTime } from './virtual-time.ts'

/** What happens to one call. */
export interface CallFate {
  /** Time from the call to its execution; `null` if it is lost on the way. */
  toPlatformMs: number | null
  /** Whether the platform refuses the call because it has too many or is failing: nothing is done. */
  isBusy?: boolean
  /** Time from the execution to the effect. */
  effectMs: number
  /** Time from the execution to the answer; `null` if the answer is lost. */
  answerMs: number | null
}

/** An order on its way to the platform, or executed and without effect so far. */
interface OpenOrder { order: PromotionOrder, sentAtMs: number, sentWallMs: number, isExecuted: boolean }

/** The platform that executes promotion orders, each after a time of its own. */
export class SimulatedPlatform {
  /** Called when a call is read, in the order in which the calls are read. */
  onRead: (order: PromotionOrder) => void = () => {}
  /** Draws what happens to a call. */
  drawFate: () => CallFate = () => ({ toPlatformMs: 2, effectMs: 400, answerMs: 2 })
  /** Whether it refuses calls with a lower fencing token than that of an earlier call. */
  checksTokens = false
  /** Whether an order takes effect on an endpoint that has restarted without its log since the order was sent: no VM can prevent a loss then. */
  promotesRestarted = false
  /** Descriptions of orders sent while an earlier one for another endpoint could still take effect. */
  readonly crossed: string[] = []
  /** Number of the orders that were executed while an earlier one for the same endpoint was without effect. */
  repeated = 0
  readonly #group: SimulatedGroup
  readonly #time: VirtualTime
  readonly #open = new Set<OpenOrder>()
  #highestToken = -Infinity

  constructor (group: SimulatedGroup, time: VirtualTime) {
    this.#group = group
    this.#time = time
  }

  /** Whether an order may still take effect. */
  get hasOpenOrder (): boolean {
    return this.#open.size > 0
  }

  /** Receives a call. Resolves to its answer, never if the answer is lost. */
  async receive (order: PromotionOrder): Promise<PromotionResult> {
    const { toPlatformMs, isBusy = false, effectMs, answerMs } = this.drawFate()
    this.#checkCrossing(order)
    this.#group.print(`order for ${order.endpoint} sent by ${order.holder}, token ${order.fencingToken}, ${JSON.stringify({ toPlatformMs, isBusy, effectMs, answerMs })}`)
    if (toPlatformMs === null) return await this.#waitForever()
    const open = { order, sentAtMs: this.#time.readNow(), sentWallMs: Date.now(), isExecuted: false }
    if (!isBusy) this.#open.add(open)
    await this.#time.waitOutside(toPlatformMs)
    this.onRead(order)
    const result = isBusy ? 'busy' : this.#execute(open, effectMs)
    if (answerMs === null) return await this.#waitForever()
    await this.#time.waitOutside(answerMs)
    return result
  }

  #execute (open: OpenOrder, effectMs: number): PromotionResult {
    const { endpoint, fencingToken } = open.order
    const found = this.#group.endpoints.get(endpoint)
    const isRefused = found?.isRunning !== true || (this.checksTokens && fencingToken < this.#highestToken)
    const isRepeated = [...this.#open].some(o => o.isExecuted && o.order.endpoint === endpoint)
    if (!isRefused) this.#highestToken = Math.max(this.#highestToken, fencingToken)
    // PROTOCOL.md does not say what a repeated order does while the first is without effect: here it has none of its own.
    if (isRefused || isRepeated || found === this.#group.leader) {
      this.#open.delete(open)
      if (!isRefused && isRepeated) this.repeated++
      this.#group.print(`order for ${endpoint} ${isRefused ? 'refused' : 'changes nothing'}`)
      return isRefused ? 'refused' : 'accepted'
    }
    open.isExecuted = true
    this.#time.runAs(undefined, () => setTimeout(() => {
      this.#open.delete(open)
      // Nor does it say whether an endpoint is promoted that has restarted since the order was sent: here it is not.
      this.#group.promote(endpoint, this.promotesRestarted ? Infinity : open.sentWallMs)
    }, effectMs))
    return 'accepted'
  }

  #checkCrossing (order: PromotionOrder): void {
    // An endpoint that has started since its order was sent is not promoted by it.
    const readStart = (endpoint: string): number => this.#group.endpoints.get(endpoint)?.startedAtMs ?? Infinity
    const canTakeEffect = (o: OpenOrder): boolean => this.promotesRestarted || readStart(o.order.endpoint) <= o.sentWallMs
    const other = [...this.#open].find(o => o.order.service === order.service && o.order.endpoint !== order.endpoint && canTakeEffect(o))
    if (other === undefined) return
    const ageMs = Math.round(this.#time.readNow() - other.sentAtMs)
    this.crossed.push(`${order.holder} ordered ${order.endpoint} ${ageMs} ms after ${other.order.holder} had ordered ${other.order.endpoint}`)
  }

  async #waitForever (): Promise<never> {
    return await new Promise(() => {})
  }
}
