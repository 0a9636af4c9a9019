/** One order to change a service's primary. */
export interface PromotionOrder {
  service: string
  endpoint: string
  /** VM that holds the failover duty. */
  holder: string
  /** Grows with each change of holder; never used again by another one. */
  fencingToken: number
}

export type PromotionResult = 'accepted' | 'refused' | 'busy' | 'unknown'

/** Whoever makes an endpoint the primary of its service. */
export abstract class Promoter {
  /** `unknown` when no answer came in time: the order may still take effect. */
  abstract promote (order: PromotionOrder, timeoutMs: number): Promise<PromotionResult>
}
