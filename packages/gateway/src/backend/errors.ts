import { BaseError } from '@camphorpitch/wire'
import type { ErrorCode } from './statement.ts'

/** Base of the errors that concern a connection to an endpoint. */
export const EndpointError = BaseError.subclass('EndpointError')

/**
 * The connection ended or never opened. A statement sent on it may have run. `isRefused` tells that the connection
 * attempt was refused.
 */
export const ConnectionLostError = EndpointError.subclass('ConnectionLostError', {
  props: { isRefused: false }
})

/** A statement was given up because its endpoint no longer leads, or can't be shown to. It may have run. */
export const LeadershipLostError = EndpointError.subclass('LeadershipLostError')

/** A statement was given up before it was sent, so that it has certainly not run. Its connection must be closed. */
export const StatementNotSentError = EndpointError.subclass('StatementNotSentError')

/** The endpoint responded to the connection attempt with the error `code`. */
export const EndpointRefusedError = EndpointError.subclass('EndpointRefusedError', {
  props: { code: 'failed' as ErrorCode }
})
