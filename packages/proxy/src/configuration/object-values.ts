import { formatIssues, objectSchemas, type Contract, type Database, type FleetSecret, type KeyRing, type LimitOwners, type ObjectKind, type StoredObject } from '@camphorpitch/wire'

export interface VersionedValue<T> {
  version: number
  revision: number
  value: T
}

export interface ObjectValues {
  contract: Map<string, VersionedValue<Contract>>
  'key-ring': Map<string, VersionedValue<KeyRing>>
  database: Map<string, VersionedValue<Database>>
  'fleet-secret': Map<string, VersionedValue<FleetSecret>>
  'limit-owners': Map<string, VersionedValue<LimitOwners>>
}

/** Kinds of objects that every VM keeps. */
export const configurationKinds = ['contract', 'key-ring', 'database', 'fleet-secret', 'limit-owners'] as const satisfies readonly ObjectKind[]
export type ConfigurationKind = typeof configurationKinds[number]

export function createObjectValues (): ObjectValues {
  return { contract: new Map(), 'key-ring': new Map(), database: new Map(), 'fleet-secret': new Map(), 'limit-owners': new Map() }
}

export function isConfigurationKind (kind: string): kind is ConfigurationKind {
  return (configurationKinds as readonly string[]).includes(kind)
}

/**
 * Applies an object's value, or removes it when the object was deleted.
 *
 * @returns why the value is invalid, in which case the last valid one stays in effect; `null` if it was applied
 */
export function applyValue (values: ObjectValues, object: StoredObject): string | null {
  const { kind, name, version, revision, value } = object
  if (!isConfigurationKind(kind)) return null
  if (value === null) {
    values[kind].delete(name)
    return null
  }
  const result = objectSchemas[kind].safeParse(value)
  if (!result.success) return formatIssues(result.error, `${kind}/${name}`)
  if (readNameInValue(kind, result.data) !== undefined && readNameInValue(kind, result.data) !== name) return `${kind}/${name}: the value names another object`
  values[kind].set(name, { version, revision, value: result.data as never })
  return null
}

/** The object name that is contained in a value; `undefined` for kinds whose values contain none. */
function readNameInValue (kind: ConfigurationKind, value: object): string | undefined {
  if ('workspace' in value) return value.workspace as string
  return kind === 'database' ? (value as Database).database : undefined
}
