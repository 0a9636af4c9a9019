import { z } from 'zod'
import { BaseError, ConflictError, PlatformError, UnknownOutcomeError } from '../errors/base.ts'
import { objectListSchema, storedObjectSchema, vmListSchema, watchResultSchema, type ObjectList, type StoredObject, type VmList, type WatchResult } from './api.ts'
import { objectSchemas, type ObjectKind } from './objects.ts'

const DEFAULT_TIMEOUT_MS = 2_000
/** Added to a watch's wait time for its timeout, so that changes from a slow service still arrive. */
const WATCH_TIMEOUT_MARGIN_MS = 5_000

export interface ObjectClientOptions {
  /** Base URL of the object service, such as `http://127.0.0.1:7000`. */
  url: string
  /** Timeout of a request, in milliseconds. A watch has a timeout of its own. */
  timeoutMs?: number
}

/** The object does not exist (status 404). */
export const MissingObjectError = PlatformError.subclass('MissingObjectError')
/** The service's log of changes no longer reaches back to the watch's revision (status 410). */
export const ExpiredRevisionError = PlatformError.subclass('ExpiredRevisionError')

/**
 * Client of the platform's object service.
 *
 * Reads throw `PlatformError`. Writes throw `ConflictError` when the object no longer has the given version,
 * `UnknownOutcomeError` when the response was lost, so the write may have taken effect, and another `PlatformError`
 * when the write has not taken effect.
 */
export class ObjectClient {
  readonly #url: string
  readonly #timeoutMs: number

  constructor ({ url, timeoutMs = DEFAULT_TIMEOUT_MS }: ObjectClientOptions) {
    this.#url = url.replace(/\/$/, '')
    this.#timeoutMs = timeoutMs
  }

  async listObjects (kind: ObjectKind): Promise<ObjectList> {
    return await this.#read(`/v1/objects/${kind}`, objectListSchema)
  }

  /** @throws MissingObjectError when there is no such object */
  async readObject (kind: ObjectKind, name: string): Promise<StoredObject> {
    return await this.#read(`/v1/objects/${kind}/${name}`, storedObjectSchema)
  }

  /** Reads an object; returns `null` if there is no such object. */
  async findObject (kind: ObjectKind, name: string): Promise<StoredObject | null> {
    try {
      return await this.readObject(kind, name)
    } catch (error) {
      if (error instanceof MissingObjectError) return null
      throw error
    }
  }

  /** Replaces the object if it still has `version`; a `version` of 0 creates it. */
  async writeObject<K extends ObjectKind> (kind: K, name: string, version: number, value: z.input<typeof objectSchemas[K]>): Promise<StoredObject> {
    const body = JSON.stringify(objectSchemas[kind].parse(value))
    return await this.#write('PUT', `/v1/objects/${kind}/${name}`, version, storedObjectSchema, body)
  }

  /** Deletes the object if it still has `version`. */
  async deleteObject (kind: ObjectKind, name: string, version: number): Promise<void> {
    await this.#write('DELETE', `/v1/objects/${kind}/${name}`, version, z.object({ revision: z.number() }))
  }

  /**
   * Waits up to `waitMs` milliseconds for changes after the revision `since`.
   *
   * @throws ExpiredRevisionError when the service's log of changes does not reach back to `since`
   */
  async watchObjects (kinds: readonly ObjectKind[], since: number, waitMs: number, signal?: AbortSignal): Promise<WatchResult> {
    const path = `/v1/watch?kinds=${kinds.join(',')}&since=${since}&waitMs=${waitMs}`
    return await this.#read(path, watchResultSchema, waitMs + WATCH_TIMEOUT_MARGIN_MS, signal)
  }

  /** Lists the VMs that the platform knows; the list may be out of date. */
  async listVms (): Promise<VmList> {
    return await this.#read('/v1/vms', vmListSchema)
  }

  async #read<S extends z.ZodType> (path: string, schema: S, timeoutMs = this.#timeoutMs, signal?: AbortSignal): Promise<z.output<S>> {
    try {
      const timeoutSignal = AbortSignal.timeout(timeoutMs)
      const response = await fetch(this.#url + path, { signal: signal === undefined ? timeoutSignal : AbortSignal.any([timeoutSignal, signal]) })
      if (response.status === 404) throw new MissingObjectError(`${path}: object not found`)
      if (response.status === 410) throw new ExpiredRevisionError(`${path}: the log of changes no longer contains the requested revision`)
      if (!response.ok) throw new PlatformError(`${path}: the object service returned status ${response.status}`)
      return schema.parse(await response.json())
    } catch (cause) {
      if (cause instanceof BaseError) throw cause
      throw new PlatformError(`${path}: no valid response from the object service`, { cause })
    }
  }

  async #write<S extends z.ZodType> (method: string, path: string, version: number, schema: S, body?: string): Promise<z.output<S>> {
    const headers: Record<string, string> = { 'if-match': String(version) }
    if (body !== undefined) headers['content-type'] = 'application/json'
    let response: Response
    try {
      response = await fetch(this.#url + path, { method, headers, body, signal: AbortSignal.timeout(this.#timeoutMs) })
    } catch (cause) {
      throw new UnknownOutcomeError(`${path}: no response to the write, which may have taken effect`, { cause })
    }
    if (response.status === 409) throw new ConflictError(`${path}: the object has changed since version ${version}`)
    if (response.status >= 500 && response.status !== 503) throw new UnknownOutcomeError(`${path}: the object service returned status ${response.status}; the write may have taken effect`)
    if (!response.ok) throw new PlatformError(`${path}: the object service returned status ${response.status}: ${await response.text()}`)
    try {
      return schema.parse(await response.json())
    } catch (cause) {
      throw new UnknownOutcomeError(`${path}: incomplete or malformed response to the write, which may have taken effect`, { cause })
    }
  }
}
