import type { LoadOptions } from './run-load.ts'

/** How an endpoint over its limit of connections was treated before: tried again every 30 ms, and no idle connection given back sooner. */
export const steadyKnocking: LoadOptions = { pressure: { maxBackoffMs: 30, pressedIdleTimeoutMs: 250, idleTimeoutMs: 250 } }

/** The parts of the endpoints' connections that serving VMs kept before. */
export const largeServingParts: LoadOptions = {
  hasServingVms: true,
  scheduling: {},
  servingFractions: { primary: { inRegion: 0.65, inPrimaryRegion: 0, elsewhere: 0.05 }, replica: { inRegion: 0.75, inPrimaryRegion: 0.05, elsewhere: 0.05 } }
}

/** How long idle connections that a VM does not retain stayed open before. */
export const longIdleTimes: LoadOptions = { pressure: { idleTimeoutMs: 250 } }

/** How requests waited for an endpoint before: by priority and connections in use, and with no limit on what is in flight. */
export const earlierWaiting: LoadOptions = {}

/** How they wait with scheduling. */
export const scheduledWaiting: LoadOptions = { scheduling: {} }
