import { BaseError } from '@camphorpitch/wire'

export const ListenerError = BaseError.subclass('ListenerError')
/** The client's connection ended while a response was being written to it. */
export const ClientDisconnectedError = ListenerError.subclass('ClientDisconnectedError')
