import { isDeepStrictEqual } from 'node:util'
import { ConflictError, objectSchemas, PlatformError, UnknownOutcomeError, type ObjectClient, type ObjectKind, type StoredObject } from '@camphorpitch/wire'
import type { z } from 'zod'
import { EditConflictError, UnknownEditError } from './errors.ts'

/** Attempts at one write, at one edit, and at one read that finds out whether a write took effect. */
const MAX_ATTEMPTS = 10

export type ObjectValue<K extends ObjectKind> = z.output<typeof objectSchemas[K]>

/**
 * Replaces an object if it still has `expectedVersion`; 0 creates it.
 *
 * If the response is lost, the object is read to find out whether the write took effect. If the object
 * is unchanged, the write is sent again: both writes are conditional on the same version, so that
 * together they take effect at most once.
 *
 * @returns the object as stored
 * @throws EditConflictError when another client changed the object
 * @throws UnknownEditError when the outcome remains unknown
 * @example await replaceObject(client, 'contract', 'brass-lab', 3, contract)
 */
export async function replaceObject<K extends ObjectKind> (client: ObjectClient, kind: K, name: string, expectedVersion: number, value: ObjectValue<K>): Promise<StoredObject> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    try {
      return await client.writeObject(kind, name, expectedVersion, value as z.input<typeof objectSchemas[K]>)
    } catch (error) {
      const written = await findWrittenObject(client, kind, name, expectedVersion, value, error)
      if (written !== null) return written
    }
  }
  throw new UnknownEditError(`${kind} '${name}': the responses to all attempts were lost; check the object before you repeat the edit`)
}

/**
 * Finds out whether a failed write took effect.
 *
 * @returns the object if the write took effect, `null` if the object is unchanged and the write may be sent again
 * @throws EditConflictError when another client changed the object
 */
async function findWrittenObject<K extends ObjectKind> (client: ObjectClient, kind: K, name: string, expectedVersion: number, value: ObjectValue<K>, error: unknown): Promise<StoredObject | null> {
  if (!(error instanceof ConflictError) && !(error instanceof UnknownOutcomeError)) throw error
  const current = await findCurrentObject(client, kind, name)
  if (current !== null && current.version > expectedVersion && isDeepStrictEqual(current.value, value)) return current
  const isUnchanged = current === null ? expectedVersion === 0 : current.version === expectedVersion
  if (isUnchanged && error instanceof UnknownOutcomeError) return null
  throw new EditConflictError(`${kind} '${name}': changed by another client, expected version ${expectedVersion}, found ${current?.version ?? 'none'}; the other change was not overwritten`)
}

/** Reads an object after a failed write, and retries while the object service is unavailable. */
async function findCurrentObject (client: ObjectClient, kind: ObjectKind, name: string): Promise<StoredObject | null> {
  for (let attempt = 1; ; attempt++) {
    try {
      return await client.findObject(kind, name)
    } catch (cause) {
      if (attempt < MAX_ATTEMPTS && cause instanceof PlatformError) continue
      throw new UnknownEditError(`${kind} '${name}': cannot read the object to find out whether the write took effect`, { cause })
    }
  }
}

/**
 * Changes an object by reading it, applying `change` and writing the result back. Reads and applies
 * `change` again, up to `MAX_ATTEMPTS` times, when another client changed the object in between.
 *
 * @param change gets `null` where there is no object; it must work on any state of the object, since it may run
 *   more than once, also after an earlier write of its own took effect
 * @returns the object as stored
 * @throws EditConflictError when other clients changed the object at each attempt
 * @throws UnknownEditError when the outcome remains unknown
 * @example await updateObject(client, 'key-ring', 'brass-lab', ring => addKey(ring, key))
 */
export async function updateObject<K extends ObjectKind> (client: ObjectClient, kind: K, name: string, change: (value: ObjectValue<K> | null) => ObjectValue<K>): Promise<StoredObject> {
  for (let attempt = 1; ; attempt++) {
    const current = await client.findObject(kind, name)
    const value = current === null ? null : objectSchemas[kind].parse(current.value) as ObjectValue<K>
    const next = change(value)
    if (current !== null && isDeepStrictEqual(next, value)) return current
    try {
      return await replaceObject(client, kind, name, current?.version ?? 0, next)
    } catch (error) {
      if (!(error instanceof EditConflictError) || attempt >= MAX_ATTEMPTS) throw error
    }
  }
}

/**
 * Deletes an object if it still has `expectedVersion`. If the response is lost, reads the object to find out whether
 * the deletion took effect, and repeats it if not.
 *
 * @throws EditConflictError when another client changed the object
 * @throws UnknownEditError when the outcome remains unknown
 */
export async function removeObject (client: ObjectClient, kind: ObjectKind, name: string, expectedVersion: number): Promise<void> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    try {
      return await client.deleteObject(kind, name, expectedVersion)
    } catch (error) {
      if (!(error instanceof ConflictError) && !(error instanceof UnknownOutcomeError)) throw error
      const current = await findCurrentObject(client, kind, name)
      if (current === null) return
      if (current.version !== expectedVersion || error instanceof ConflictError) throw new EditConflictError(`${kind} '${name}': changed by another client, expected version ${expectedVersion}, found ${current.version}`)
    }
  }
  throw new UnknownEditError(`${kind} '${name}': the responses to all attempts were lost; check the object before you repeat the deletion`)
}
