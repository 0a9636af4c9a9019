import { BaseError } from '@camphorpitch/wire'

/**
 * Why a pool gave no connection: all connections are in use, the endpoint cannot be reached, or it was removed.
 * No statement was sent to the endpoint in any of these cases.
 */
export type PoolRefusal = 'busy' | 'unreachable' | 'gone'

/** A pool gave no connection; `refusal` is the reason, and after `retryAfterMs` milliseconds there is likely to be one. */
export const PoolError = BaseError.subclass('PoolError', { props: { refusal: 'busy' as PoolRefusal, retryAfterMs: 0 } })
/** The statement ended otherwise while it waited for a connection. */
export const RequestWithdrawnError = PoolError.subclass('RequestWithdrawnError')
