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
  /** Carries out one effect; `tell` sends a message back to the slice. */
  runEffect: (effect: Effect, tell: (message: Message) => void) => void
}

/** Handle of a running slice. */
export interface SliceActor<State, Message> {
  tell: (message: Message) => void
  /** The state as of the last message, for views and metrics; not to be changed. */
  readState: () => State
  stop: () => void
}

/** Actors of one name may follow each other while the first still drains. */
let spawnCount = 0

/**
 * Hosts a decision in an actor: messages are decided one by one, then their effects are run.
 *
 * An exception in a decision or effect is logged; the slice goes on with its state before the message.
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
