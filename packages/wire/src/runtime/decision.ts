/**
 * The result of a decision function: the new state, and the effects that the host must run.
 *
 * A decision function depends only on its state, a message and the time. It has no access to timers, sockets, clocks,
 * logs or random numbers, so the same code runs in a process, in a scenario under a virtual clock
 * and in a differential test. It owns its state and may change it in place.
 */
export interface Step<State, Effect> {
  state: State
  effects: Effect[]
}

/** @param nowMs monotonic milliseconds */
export type Decide<State, Message, Effect> = (state: State, message: Message, nowMs: number) => Step<State, Effect>
