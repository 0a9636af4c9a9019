export { createDocumentSchema } from './document-check.ts'
export { removeObject, replaceObject, updateObject } from './object-edits.ts'
export { ControlError, EditConflictError, ExitCode, NotFoundError, UnknownEditError } from './errors.ts'
