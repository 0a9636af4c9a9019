import { BaseError, ConflictError, MissingObjectError, PlatformError, SettingsError } from '@camphorpitch/wire'

/** Exit codes of `camphorpitch`. */
export const ExitCode = {
  ok: 0,
  failed: 1,
  badInput: 2,
  /** The object was changed by somebody else; nothing was written. */
  conflict: 3,
  notFound: 4,
  /** The object service or a gateway was not reached, or the answer to a change was lost and could not be looked up. */
  unknown: 5
} as const

/** Root of the errors that the commands report. */
export const ControlError = BaseError.subclass('ControlError')
/** The object changed since it was read; the message shows how. */
export const EditConflictError = ControlError.subclass('EditConflictError')
export const NotFoundError = ControlError.subclass('NotFoundError')
/** The change may have taken effect. */
export const UnknownEditError = ControlError.subclass('UnknownEditError')

/** @example selectExitCode(new NotFoundError('no contract')) // 4 */
export function selectExitCode (error: unknown): number {
  if (error instanceof SettingsError) return ExitCode.badInput
  if (error instanceof EditConflictError || error instanceof ConflictError) return ExitCode.conflict
  if (error instanceof NotFoundError || error instanceof MissingObjectError) return ExitCode.notFound
  if (error instanceof UnknownEditError || error instanceof PlatformError) return ExitCode.unknown
  return ExitCode.failed
}
