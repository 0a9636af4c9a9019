export { startGroupView, type GroupViewOptions } from './failover/start-group-view.ts'
export { TOLERATED_PAUSE_MS } from './failover/timings.ts'
export { createFailoverState, type FailoverState } from './failover/state.ts'
export { decideFailover } from './failover/decide-failover.ts'
