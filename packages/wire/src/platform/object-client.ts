import { z } from 'zod'
import { BaseError, ConflictError, PlatformError, UnknownOutcomeError } from '../errors/base.ts'
import { objectListSchema, storedObjectSchema, vmListSchema, watchResultSchema, type ObjectList, type StoredObject, type VmList, type WatchResult } from './api.ts'
import { objectSchemas, type ObjectKind } from './objects.ts'

const DEFAULT_TIMEOUT_MS = 2_000
/** A watch may take this much longer than it waits, so that a slow service still brings changes. */
const WATCH_TIMEOUT_MARGIN_MS = 5_000

export interface ObjectClientOptions {
  /** Base address of the object service, such as `http://127.0.0.1:7000`. */
  url: string
  timeoutMs?: number
}

/** Thrown for 404. */
export const MissingObjectError = PlatformError.subclass('MissingObjectError')
/** Thrown for 410: the service's log of changes no longer reaches back to the watch's revision. */
export const ExpiredRevisionError = PlatformError.subclass('ExpiredRevisionError')

/**
 * Client of the platform's object service.
 *
 * Reads throw `PlatformError`. Writes throw `ConflictError` when the version has moved on,
 * `UnknownOutcomeError` when the answer was lost, and `PlatformError` when surely nothing changed.
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

  async readObject (kind: ObjectKind, name: string): Promise<StoredObject> {
    return await this.#read(`/v1/objects/${kind}/${name}`, storedObjectSchema)
  }

  /** `null` where there is no such object. */
  async findObject (kind: ObjectKind, name: string): Promise<StoredObject | null> {
    try {
      return await this.readObject(kind, name)
    } catch (error) {
      if (error instanceof MissingObjectError) return null
      throw error
    }
  }

  /** Writes if the object still has `version`; 0 creates it. */
  async writeObject<K extends ObjectKind> (kind: K, name: string, version: number, value: z.input<typeof objectSchemas[K]>): Promise<StoredObject> {
    const body = JSON.stringify(objectSchemas[kind].parse(value))
    return await this.#write('PUT', `/v1/objects/${kind}/${name}`, version, storedObjectSchema, body)
  }

  async deleteObject (kind: ObjectKind, name: string, version: number): Promise<void> {
    await this.#write('DELETE', `/v1/objects/${kind}/${name}`, version, z.object({ revision: z.number() }))
  }

  async watchObjects (kinds: readonly ObjectKind[], since: number, waitMs: number, signal?: AbortSignal): Promise<WatchResult> {
    const path = `/v1/watch?kinds=${kinds.join(',')}&since=${since}&waitMs=${waitMs}`
    return await this.#read(path, watchResultSchema, waitMs + WATCH_TIMEOUT_MARGIN_MS, signal)
  }

  async listVms (): Promise<VmList> {
    return await this.#read('/v1/vms', vmListSchema)
  }

  async #read<S extends z.ZodType> (path: string, schema: S, timeoutMs = this.#timeoutMs, signal?: AbortSignal): Promise<z.output<S>> {
    try {
      const timeoutSignal = AbortSignal.timeout(timeoutMs)
      const response = await fetch(this.#url + path, { signal: signal === undefined ? timeoutSignal : AbortSignal.any([timeoutSignal, signal]) })
      if (response.status === 404) throw new MissingObjectError(`${path}: not found`)
      if (response.status === 410) throw new ExpiredRevisionError(`${path}: revision too old`)
      if (!response.ok) throw new PlatformError(`${path}: status ${response.status}`)
      return schema.parse(await response.json())
    } catch (cause) {
      if (cause instanceof BaseError) throw cause
      throw new PlatformError(`${path}: no answer from the object service`, { cause })
    }
  }

  async #write<S extends z.ZodType> (method: string, path: string, version: number, schema: S, body?: string): Promise<z.output<S>> {
    const headers: Record<string, string> = { 'if-match': String(version) }
    if (body !== undefined) headers['content-type'] = 'application/json'
    let response: Response
    try {
      response = await fetch(this.#url + path, { method, headers, body, signal: AbortSignal.timeout(this.#timeoutMs) })
    } catch (cause) {
      throw new UnknownOutcomeError(`${path}: the answer was lost`, { cause })
    }
    if (response.status === 409) throw new ConflictError(`${path}: changed since version ${version}`)
    if (response.status >= 500 && response.status !== 503) throw new UnknownOutcomeError(`${path}: status ${response.status}`)
    if (!response.ok) throw new PlatformError(`${path}: status ${response.status}: ${await response.text()}`)
    try {
      return schema.parse(await response.json())
    } catch (cause) {
      throw new UnknownOutcomeError(`${path}: the answer broke off`, { cause })
    }
  }
}
