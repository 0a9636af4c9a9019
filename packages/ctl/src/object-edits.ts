import { isDeepStrictEqual } from 'node:util'
import { ConflictError, objectSchemas, PlatformError, UnknownOutcomeError, type ObjectClient, type ObjectKind, type StoredObject } from '@camphorpitch/wire'
import type { z } from 'zod'
import { EditConflictError, UnknownEditError } from './errors.ts'

/** Attempts at one edit, look-ups of lost answers included. */
const MAX_ATTEMPTS = 10

export type ObjectValue<K extends ObjectKind> = z.output<typeof objectSchemas[K]>

/**
 * Replaces an object if it still has `version`; 0 creates it.
 *
 * A lost answer is looked up. If the object has not moved on, the write is sent again: it is
 * conditional on the same version, so both together take effect at most once.
 *
 * @throws EditConflictError when somebody else changed the object
 * @throws UnknownEditError when the outcome could not be looked up
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
  throw new UnknownEditError(`${kind} '${name}': the object service keeps losing its answers; look before you repeat the edit`)
}

/** After a failed write: the object if the write took effect, `null` if it may be sent again. */
async function findWrittenObject<K extends ObjectKind> (client: ObjectClient, kind: K, name: string, expectedVersion: number, value: ObjectValue<K>, error: unknown): Promise<StoredObject | null> {
  if (!(error instanceof ConflictError) && !(error instanceof UnknownOutcomeError)) throw error
  const current = await findCurrentObject(client, kind, name)
  if (current !== null && current.version > expectedVersion && isDeepStrictEqual(current.value, value)) return current
  const isUnchanged = current === null ? expectedVersion === 0 : current.version === expectedVersion
  if (isUnchanged && error instanceof UnknownOutcomeError) return null
  throw new EditConflictError(`${kind} '${name}': changed by somebody else, expected version ${expectedVersion}, found ${current?.version ?? 'none'}; nothing of theirs was overwritten`)
}

async function findCurrentObject (client: ObjectClient, kind: ObjectKind, name: string): Promise<StoredObject | null> {
  for (let attempt = 1; ; attempt++) {
    try {
      return await client.findObject(kind, name)
    } catch (cause) {
      if (attempt < MAX_ATTEMPTS && cause instanceof PlatformError) continue
      throw new UnknownEditError(`${kind} '${name}': the answer was lost and cannot be looked up`, { cause })
    }
  }
}

/**
 * Changes an object by reading it, applying `change` and writing it back, as often as others come in
 * between. `change` must make sense on any state: it gets `null` where there is no object.
 *
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

/** Deletes an object if it still has `version`; a lost answer is looked up. */
export async function removeObject (client: ObjectClient, kind: ObjectKind, name: string, expectedVersion: number): Promise<void> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    try {
      return await client.deleteObject(kind, name, expectedVersion)
    } catch (error) {
      if (!(error instanceof ConflictError) && !(error instanceof UnknownOutcomeError)) throw error
      const current = await findCurrentObject(client, kind, name)
      if (current === null) return
      if (current.version !== expectedVersion || error instanceof ConflictError) throw new EditConflictError(`${kind} '${name}': changed by somebody else, expected version ${expectedVersion}, found ${current.version}`)
    }
  }
  throw new UnknownEditError(`${kind} '${name}': the object service keeps losing its answers`)
}
