import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { SettingsError } from '../errors/base.ts'

/** Exit code of a process whose settings or arguments are invalid. */
export const EXIT_BAD_SETTINGS = 2

/**
 * Formats each issue as a line with the source, the path of the field and what was expected.
 *
 * @example formatIssues(error, 'proxy.json') // 'proxy.json: callers.port: expected number, received string'
 */
export function formatIssues (error: z.ZodError, source: string): string {
  const lines = error.issues.map(issue => `${source}: ${issue.path.join('.') || '(root)'}: ${issue.message}`)
  return lines.join('\n')
}

/**
 * Reads a JSON settings file and checks it against a schema.
 *
 * @throws SettingsError when the file cannot be read or is not JSON, or with the path of each invalid field and what was expected
 * @example const settings = readSettings('proxy.json', proxySettingsSchema)
 */
export function readSettings<S extends z.ZodType> (path: string, schema: S): z.output<S> {
  return checkSettings(readJsonFile(path), schema, path)
}

/**
 * Checks a value against a schema, and returns it with the schema's defaults. `source` names the value in errors.
 *
 * @throws SettingsError with the path of each invalid field and what was expected
 */
export function checkSettings<S extends z.ZodType> (value: unknown, schema: S, source: string): z.output<S> {
  const result = schema.safeParse(value)
  if (result.success) return result.data
  throw new SettingsError(formatIssues(result.error, source))
}

/** @throws SettingsError when the file cannot be read or is not JSON */
export function readJsonFile (path: string): unknown {
  try {
    return JSON.parse(readFileSync(path, 'utf8'))
  } catch (cause) {
    throw new SettingsError(`${path}: cannot be read as JSON`, { cause })
  }
}
