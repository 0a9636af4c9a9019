import ModernError from 'modern-errors'

/** Base of all errors of this project. Each layer derives its own, with the error of the layer below as `cause`. */
export const BaseError = ModernError.subclass('BaseError')

/**
 * Returns an error's message, for logs and responses.
 *
 * @example describeError(new Error('connection lost')) // 'connection lost'
 */
export function describeError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

export const SettingsError = BaseError.subclass('SettingsError')
export const LinkError = BaseError.subclass('LinkError')
export const PlatformError = BaseError.subclass('PlatformError')
/** The object has changed since it was read. */
export const ConflictError = PlatformError.subclass('ConflictError')
/** The response to a call was lost; the call may have taken effect. */
export const UnknownOutcomeError = PlatformError.subclass('UnknownOutcomeError')
