import ModernError from 'modern-errors'

/** Root of all errors of this project. Each layer derives its own and wraps those from below as `cause`. */
export const BaseError = ModernError.subclass('BaseError')

/** The reason that an error gives, for logs and answers. @example describeError(new Error('gone')) // 'gone' */
export function describeError (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

export const SettingsError = BaseError.subclass('SettingsError')
export const LinkError = BaseError.subclass('LinkError')
export const PlatformError = BaseError.subclass('PlatformError')
/** The object changed since it was read. */
export const ConflictError = PlatformError.subclass('ConflictError')
/** The call's answer was lost: it may have taken effect. */
export const UnknownOutcomeError = PlatformError.subclass('UnknownOutcomeError')
