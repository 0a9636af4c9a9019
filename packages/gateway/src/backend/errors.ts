import { BaseError } from '@camphorpitch/wire'
import type { ErrorCode } from './statement.ts'

export const EndpointError = BaseError.subclass('EndpointError')

/** The connection ended or never opened: what was sent on it may have run. */
export const ConnectionLostError = EndpointError.subclass('ConnectionLostError', {
  props: { isRefused: false }
})

/** The endpoint answered the connection attempt with an error. */
export const EndpointRefusedError = EndpointError.subclass('EndpointRefusedError', {
  props: { code: 'failed' as ErrorCode }
})
