import { z } from 'zod'

/** What an endpoint registers of itself. */
export const endpointEntrySchema = z.object({
  endpoint: z.string(),
  service: z.string(),
  /** `host:port` */
  address: z.string(),
  failureDomain: z.string(),
  role: z.enum(['primary', 'replica']),
  isDraining: z.boolean(),
  /** Statements that it runs at the same time. */
  slots: z.number().int().positive(),
  /** Milliseconds for which it stays slow after its start. */
  warmupLeftMs: z.number().nonnegative(),
  /** Time of its start in milliseconds since the epoch; the same endpoint may start again, empty. */
  startedAtMs: z.number()
})
export type EndpointEntry = z.infer<typeof endpointEntrySchema>
