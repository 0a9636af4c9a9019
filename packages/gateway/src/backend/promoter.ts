/** Order to make an endpoint the primary of its service. */
export interface PromotionOrder {
  service: string
  endpoint: string
  /** VM that holds the duty of failing over the service. */
  holder: string
  /** Increases with each change of the holder; no other holder uses the same value again. */
  fencingToken: number
}

/**
 * Result of an order. After `refused` and `busy` nothing was done; `busy` also if the order was not sent. `unknown` when no response came in
 * time.
 */
export type PromotionResult = 'accepted' | 'refused' | 'busy' | 'unknown'

/** What became of a call, with times in milliseconds since it was made. */
export interface PromotionResponse {
  result: PromotionResult
  /** When the connection was open and the request was written; `null` if it was not. */
  sentAfterMs: number | null
  endedAfterMs: number
}

/** Interface to the component that makes an endpoint the primary of its service. */
export abstract class Promoter {
  /**
   * Sends an order. After `unknown`, when no response came within `timeoutMs`, the order may still take effect.
   *
   * @param canSend whether the order may still be sent; asked right before it is written
   * @example await promoter.promote(order, 700, () => claims.isUsable(claim)) // { result: 'accepted', sentAfterMs: 9, endedAfterMs: 31 }
   */
  abstract promote (order: PromotionOrder, timeoutMs: number, canSend: () => boolean): Promise<PromotionResponse>
}
