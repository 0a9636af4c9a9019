import { BaseError } from '@camphorpitch/wire'

/** MySQL's `ER_UNKNOWN_ERROR`. */
export const UNKNOWN_ERRNO = 1105

/** A statement failed; the client receives the message and the MySQL error number `errno`. */
export const StatementError = BaseError.subclass('StatementError', { props: { errno: UNKNOWN_ERRNO } })

/** @example throw createStatementError(1064, 'syntax error') */
export function createStatementError (errno: number, message: string, cause?: unknown): InstanceType<typeof StatementError> {
  return new StatementError(message, { cause, props: { errno } })
}
