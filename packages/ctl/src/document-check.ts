import { contractSchema, databaseSchema, SettingsError, type Contract, type Database } from '@camphorpitch/wire'
import { z } from 'zod'
import { findNearestName } from './nearest-name.ts'

/** Kinds of documents that operators write as files. */
export type DocumentKind = 'contract' | 'database'
export type Document<K extends DocumentKind> = K extends 'contract' ? Contract : Database

const documentSchemas = { contract: contractSchema, database: databaseSchema }

interface JsonSchema {
  properties?: Record<string, JsonSchema>
  additionalProperties?: JsonSchema | boolean
  items?: JsonSchema
}

/** Creates the JSON Schema of a document as operators write it: fields that have a default are optional. */
export function createDocumentSchema (kind: DocumentKind): Record<string, unknown> {
  return { title: `camphorpitch ${kind}`, ...z.toJSONSchema(documentSchemas[kind], { io: 'input' }) }
}

/**
 * Checks a document against the schema of its kind and fills in defaults. The error message has a line for each
 * problem, with the path of the field and, for an unknown field, the nearest known name.
 *
 * @param source file name that each line of the message begins with
 * @throws SettingsError with all problems
 */
export function checkDocument<K extends DocumentKind> (kind: K, value: unknown, source: string): Document<K> {
  const result = documentSchemas[kind].safeParse(value)
  if (result.success) return result.data as Document<K>
  const lines = result.error.issues.flatMap(i => describeIssue(kind, i).map(text => `${source}: ${text}`))
  throw new SettingsError(lines.join('\n'))
}

function describeIssue (kind: DocumentKind, issue: z.core.$ZodIssue): string[] {
  if (issue.code !== 'unrecognized_keys') return [`${formatPath(issue.path)}: ${issue.message}`]
  const fieldNames = listFieldNames(createDocumentSchema(kind), issue.path)
  return issue.keys.map(key => `${formatPath([...issue.path, key])}: unknown field${formatSuggestion(key, fieldNames)}`)
}

/**
 * Formats a suggestion that can be added to an error message; empty when no candidate is near.
 *
 * @example formatSuggestion('rat', ['rate']) // "; did you mean 'rate'?"
 */
export function formatSuggestion (name: string, candidates: readonly string[]): string {
  const nearest = findNearestName(name, candidates)
  return nearest === undefined ? '' : `; did you mean '${nearest}'?`
}

function formatPath (path: readonly PropertyKey[]): string {
  return path.length === 0 ? '(root)' : path.map(String).join('.')
}

function listFieldNames (schema: JsonSchema, path: readonly PropertyKey[]): string[] {
  let current: JsonSchema | undefined = schema
  for (const part of path) current = findFieldSchema(current, String(part))
  return Object.keys(current?.properties ?? {})
}

function findFieldSchema (schema: JsonSchema | undefined, name: string): JsonSchema | undefined {
  const additionalFields = schema?.additionalProperties
  return schema?.properties?.[name] ?? (typeof additionalFields === 'object' ? additionalFields : schema?.items)
}

/**
 * Checks that all databases which a contract names exist.
 *
 * @throws SettingsError with each unknown database and the nearest name
 */
export function checkDatabaseNames (contract: Contract, existingDatabases: readonly string[], source: string): void {
  const unknownDatabases = Object.keys(contract.databases).filter(d => !existingDatabases.includes(d))
  if (unknownDatabases.length === 0) return
  const lines = unknownDatabases.map(d => `${source}: databases.${d}: unknown database${formatSuggestion(d, existingDatabases)}`)
  throw new SettingsError(lines.join('\n'))
}

export interface FieldChange {
  path: string
  from: unknown
  to: unknown
}

/** Lists the fields in which two documents differ; the value of an absent field is `undefined`. */
export function listChanges (from: unknown, to: unknown, path: string[] = []): FieldChange[] {
  if (!isRecord(from) || !isRecord(to)) {
    return JSON.stringify(from) === JSON.stringify(to) ? [] : [{ path: formatPath(path), from, to }]
  }
  const keys = [...new Set([...Object.keys(from), ...Object.keys(to)])]
  return keys.flatMap(k => listChanges(from[k], to[k], [...path, k]))
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}
