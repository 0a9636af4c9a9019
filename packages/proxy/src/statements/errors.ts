import { BaseError } from '@camphorpitch/wire'

export const StatementError = BaseError.subclass('StatementError')
/** The link to the serving VM was lost before the response was complete; the statement may have run. */
export const StreamLostError = StatementError.subclass('StreamLostError')
/** The serving VM was unreachable, so the statement has not run. */
export const StreamNotStartedError = StatementError.subclass('StreamNotStartedError')
