import { BaseError } from '@camphorpitch/wire'

/** Base class for failures of connections to a database's instances. */
export const PoolError = BaseError.subclass('PoolError')
/** No connection could be opened, so no statement was sent. */
export const ConnectError = PoolError.subclass('ConnectError')
/** The connection ended before the response to a statement was complete; the statement may have run. */
export const ConnectionLostError = PoolError.subclass('ConnectionLostError')
/** The statement's timeout expired before its response was complete; its connection is closed. */
export const StatementTimeoutError = PoolError.subclass('StatementTimeoutError')
