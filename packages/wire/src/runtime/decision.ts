/**
 * The result of a decision: the state to keep and what the host must do.
 *
 * A decision is a function of its state, a message and the time. It has no timer, socket, clock, log
 * or randomness of its own, so the same code runs in a process, in a scenario under a virtual clock
 * and in a differential test. It owns its state and may change it in place.
 */
export interface Step<State, Effect> {
  state: State
  effects: Effect[]
}

/** @param nowMs monotonic milliseconds */
export type Decide<State, Message, Effect> = (state: State, message: Message, nowMs: number) => Step<State, Effect>
