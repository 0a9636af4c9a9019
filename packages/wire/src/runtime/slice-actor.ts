import type { Clock } from '../process/clock.ts'
import type { Logger } from '../process/logger.ts'
import { dispatch, spawn, stop, type ActorSystemRef, type Ref } from 'nact'
import type { Decide } from './decision.ts'

export interface SliceActorOptions<State, Message, Effect> {
  system: ActorSystemRef
  name: string
  clock: Clock
  logger: Logger
  initialState: State
  decide: Decide<State, Message, Effect>
  /** Runs one effect; `tell` sends a message to the slice, such as the effect's result. */
  runEffect: (effect: Effect, tell: (message: Message) => void) => void
}

/** A running slice. */
export interface SliceActor<State, Message> {
  tell: (message: Message) => void
  /** Returns the state after the last message, for status pages and metrics. It must not be changed. */
  readState: () => State
  stop: () => void
}

/** Makes actor names unique: a slice may be started again while the actor of its previous run is still stopping. */
let spawnCount = 0

/**
 * Runs a decision function in an actor: it handles one message at a time and then runs the effects.
 *
 * An exception in a decision function or an effect is logged; the slice then continues with the state before the message.
 */
export function spawnSlice<State, Message, Effect> (options: SliceActorOptions<State, Message, Effect>): SliceActor<State, Message> {
  const { system, name, clock, logger, decide, runEffect } = options
  let currentState = options.initialState
  let isStopped = false
  const handleMessage = (state: State, message: Message): State => {
    const step = decide(state, message, clock.readNow())
    currentState = step.state
    for (const e of step.effects) runEffect(e, tell)
    return step.state
  }
  const actor: Ref<Message> = spawn(system, handleMessage, `${name}-${++spawnCount}`, {
    initialState: options.initialState,
    onCrash: (message: unknown, error: unknown, context: { resume: symbol }) => {
      logger.error('slice failed', { slice: name, message, error: error instanceof Error ? error.stack : String(error) })
      return context.resume
    }
  } as never) as Ref<Message>
  function tell (message: Message): void {
    if (!isStopped) dispatch(actor, message)
  }
  return {
    tell,
    readState: () => currentState,
    stop: () => {
      isStopped = true
      stop(actor)
    }
  }
}
