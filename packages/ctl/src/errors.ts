import { BaseError, ConflictError, MissingObjectError, PlatformError, SettingsError } from '@camphorpitch/wire'

/** Exit codes of `camphorpitch`. */
export const ExitCode = {
  ok: 0,
  failed: 1,
  badInput: 2,
  /** Another client changed the object in the meantime; its change was not overwritten. */
  conflict: 3,
  notFound: 4,
  /** The object service or a gateway did not respond, or it is unknown whether a change took effect. */
  unknown: 5
} as const

/** Base class of the errors that the commands report. */
export const ControlError = BaseError.subclass('ControlError')
/** The object no longer has the version that the edit was based on; the message gives both versions. */
export const EditConflictError = ControlError.subclass('EditConflictError')
/** The named contract, database or key does not exist. */
export const NotFoundError = ControlError.subclass('NotFoundError')
/** The response to a change was lost: the change may have taken effect or not. */
export const UnknownEditError = ControlError.subclass('UnknownEditError')

/**
 * Returns the `ExitCode` with which a command that failed with `error` ends.
 *
 * @example selectExitCode(new NotFoundError('no contract')) // 4
 */
export function selectExitCode (error: unknown): number {
  if (error instanceof SettingsError) return ExitCode.badInput
  if (error instanceof EditConflictError || error instanceof ConflictError) return ExitCode.conflict
  if (error instanceof NotFoundError || error instanceof MissingObjectError) return ExitCode.notFound
  if (error instanceof UnknownEditError || error instanceof PlatformError) return ExitCode.unknown
  return ExitCode.failed
}
