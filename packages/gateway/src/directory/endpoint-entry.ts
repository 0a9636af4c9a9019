import { isIPv4 } from 'node:net'
import { z } from 'zod'

export const MAX_PORT = 65_535
/** Bounds beyond which an entry is not one of an endpoint. */
const MAX_SLOTS = 100_000
const MAX_WARMUP_MS = 86_400_000

/** Whether a text is `host:port` with an IPv4 address and a port that can be connected to. */
function isAddress (text: string): boolean {
  const [host, port, ...rest] = text.split(':')
  return rest.length === 0 && isIPv4(host!) && /^\d{1,5}$/.test(port ?? '') && Number(port) >= 1 && Number(port) <= MAX_PORT
}

/** The entry that an endpoint registers for itself in the store. */
export const endpointEntrySchema = z.object({
  endpoint: z.string(),
  service: z.string(),
  /** `host:port` */
  address: z.string().refine(isAddress),
  failureDomain: z.string(),
  role: z.enum(['primary', 'replica']),
  isDraining: z.boolean(),
  /** Number of statements that it runs concurrently. */
  slots: z.number().int().positive().max(MAX_SLOTS),
  /** Milliseconds until it has warmed up; it is slow until then. */
  warmupLeftMs: z.number().nonnegative().max(MAX_WARMUP_MS),
  /** Time of its start in milliseconds since the epoch; an endpoint may restart under the same name without its data. */
  startedAtMs: z.number().nonnegative()
})
export type EndpointEntry = z.infer<typeof endpointEntrySchema>

/** The registered endpoints as of a revision of the store, as VMs tell each other. */
export const endpointListingSchema = z.object({
  entries: z.array(endpointEntrySchema),
  asOf: z.object({ epoch: z.number().int().nonnegative(), number: z.number().int().nonnegative() })
})
export type EndpointListing = z.infer<typeof endpointListingSchema>
