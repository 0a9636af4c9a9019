import { z } from 'zod'
import { nameSchema, portSchema } from './objects.ts'

/**
 * The object service's protocol: JSON over HTTP.
 *
 * - `GET /v1/objects/:kind` returns `ObjectList`
 * - `GET /v1/objects/:kind/:name` returns `StoredObject`, or 404
 * - `PUT /v1/objects/:kind/:name` with `If-Match: <version>` (0 creates the object) returns `StoredObject`, or 409
 * - `DELETE /v1/objects/:kind/:name` with `If-Match: <version>` returns `{ revision }`, or 409
 * - `GET /v1/watch?kinds=a,b&since=<revision>&waitMs=<n>` returns `WatchResult` as soon as there is a change,
 *   or 410 when the service's log of changes does not reach back to `since`
 * - `GET /v1/vms` returns `VmList`, which may be out of date
 *
 * 429 means that the request rate is exceeded, 503 that the service is unavailable. The revision increases with each
 * change of any object.
 */
export const storedObjectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  /** Increases with each change of this object. */
  version: z.number().int().positive(),
  /** Revision of the object service after this object's last change. */
  revision: z.number().int().positive(),
  /** `null` for a deleted object, which only a watch returns. */
  value: z.unknown()
})
export type StoredObject = z.infer<typeof storedObjectSchema>

export const objectListSchema = z.object({ revision: z.number().int(), objects: z.array(storedObjectSchema) })
export type ObjectList = z.infer<typeof objectListSchema>

export const watchResultSchema = z.object({ revision: z.number().int(), changes: z.array(storedObjectSchema) })
export type WatchResult = z.infer<typeof watchResultSchema>

export const vmSchema = z.object({
  vm: nameSchema,
  host: z.string(),
  peerPort: portSchema,
  failureDomain: nameSchema,
  region: nameSchema.default('default'),
  state: z.enum(['live', 'leaving'])
})
export type Vm = z.infer<typeof vmSchema>

export const vmListSchema = z.object({ vms: z.array(vmSchema) })
export type VmList = z.infer<typeof vmListSchema>

/** Largest value of one object, in bytes. */
export const MAX_OBJECT_BYTES = 1_048_576
