import { BaseError } from '@camphorpitch/wire'

export const ListenerError = BaseError.subclass('ListenerError')
/** The caller's connection ended while something was being written to it. */
export const ClientDisconnectedError = ListenerError.subclass('CallerGoneError')
