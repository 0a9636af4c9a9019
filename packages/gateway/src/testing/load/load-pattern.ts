import { z } from 'zod'
import { consistencyLevels } from '../../configuration/configuration.ts'

/** Kind of requests that a load pattern sends. */
export const requestKindSchema = z.object({
  name: z.string(),
  /** Requests a second, over all clients. */
  ratePerSecond: z.number().positive(),
  /** Fraction of writes; the others are reads. */
  writeFraction: z.number().min(0).max(1),
  consistency: z.enum(consistencyLevels),
  /** How stale the data of a read may be, in milliseconds. */
  maxStalenessMs: z.number().nonnegative(),
  /** Mean time that an endpoint works on a statement, in milliseconds. */
  workMs: z.number().positive(),
  objectiveMs: z.number().positive(),
  /** Time after which the client gives up, in milliseconds. */
  deadlineMs: z.number().positive(),
  priority: z.number().int(),
  /** Benefit of a request answered within its objective, and of one answered later. */
  worth: z.number().positive(),
  lateWorth: z.number().nonnegative()
})
export type RequestKind = z.infer<typeof requestKindSchema>

/** What happens in a load pattern. Times are in milliseconds from its start. */
export const loadEventSchema = z.discriminatedUnion('type', [
  /** All clients send `factor` times as much. */
  z.object({ type: z.literal('burst'), atMs: z.number(), forMs: z.number(), factor: z.number().positive() }),
  /** The first workspace sends `factor` times its usual. */
  z.object({ type: z.literal('hotWorkspace'), atMs: z.number(), forMs: z.number(), factor: z.number().positive() }),
  /** An endpoint works `factor` times as long on each statement. */
  z.object({ type: z.literal('slowEndpoint'), atMs: z.number(), forMs: z.number(), factor: z.number().positive(), endpoint: z.string() }),
  /** An endpoint stops answering. */
  z.object({ type: z.literal('darkEndpoint'), atMs: z.number(), forMs: z.number(), endpoint: z.string() }),
  /** All VMs lose power and start again after `downMs`; endpoints count their connections for `lingerMs` more. */
  z.object({ type: z.literal('powerOff'), atMs: z.number(), downMs: z.number(), lingerMs: z.number() })
])
export type LoadEvent = z.infer<typeof loadEventSchema>

/** A load, as data: who asks for how much, what serves it, and what goes wrong. */
export const loadPatternSchema = z.object({
  name: z.string(),
  seed: z.number().int(),
  durationMs: z.number().positive(),
  vms: z.number().int().positive(),
  failureDomains: z.number().int().positive().default(3),
  services: z.number().int().positive(),
  workspaces: z.number().int().positive(),
  endpoint: z.object({
    /** Endpoints of a service; the first one leads. */
    copies: z.number().int().positive().default(3),
    slots: z.number().int().positive(),
    /** Statements that wait for a slot at most. */
    queue: z.number().int().nonnegative(),
    maxConnections: z.number().int().positive(),
    /** Time for which a new connection occupies a slot. */
    handshakeMs: z.number().nonnegative()
  }),
  kinds: z.array(requestKindSchema).min(1),
  events: z.array(loadEventSchema).default([])
})
export type LoadPattern = z.infer<typeof loadPatternSchema>

const kinds: RequestKind[] = [
  { name: 'filing', ratePerSecond: 37.7, writeFraction: 0.5, consistency: 'primary', maxStalenessMs: 0, workMs: 6, objectiveMs: 300, deadlineMs: 2_000, priority: 1, worth: 2, lateWorth: 0.2 },
  { name: 'dashboard', ratePerSecond: 37.7, writeFraction: 0, consistency: 'boundedStaleness', maxStalenessMs: 2_500, workMs: 30, objectiveMs: 600, deadlineMs: 4_000, priority: 2, worth: 1, lateWorth: 0.1 },
  { name: 'amendment', ratePerSecond: 126, writeFraction: 0.2, consistency: 'readYourWrites', maxStalenessMs: 2_500, workMs: 18, objectiveMs: 500, deadlineMs: 2_000, priority: 2, worth: 2, lateWorth: 0.1 }
]
const small = { seed: 1, durationMs: 14_000, vms: 9, services: 3, workspaces: 8, endpoint: { slots: 3, queue: 24, maxConnections: 23, handshakeMs: 12 }, kinds }

/** The load patterns that the decisions on waiting, refusing and placing are tested with. */
export const loadPatterns: LoadPattern[] = [
  { ...small, name: 'calm' },
  { ...small, name: 'power-off of all VMs', events: [{ type: 'powerOff', atMs: 4_000, downMs: 1_100, lingerMs: 3_000 }] },
  { ...small, name: 'burst of 2 beside a dark primary', events: [{ type: 'burst', atMs: 3_000, forMs: 6_000, factor: 2 }, { type: 'darkEndpoint', atMs: 4_000, forMs: 3_000, endpoint: 's0-e0' }] },
  { ...small, name: 'a workspace at nine times its usual', events: [{ type: 'hotWorkspace', atMs: 3_000, forMs: 7_000, factor: 9 }] },
  { ...small, name: 'burst of 2 beside a slow endpoint', events: [{ type: 'burst', atMs: 3_000, forMs: 6_000, factor: 2 }, { type: 'slowEndpoint', atMs: 3_000, forMs: 6_000, endpoint: 's1-e1', factor: 5 }] },
  { ...small, name: 'burst of 4', events: [{ type: 'burst', atMs: 3_000, forMs: 6_000, factor: 4 }] },
  { ...small, name: 'burst of 2 on 30 VMs', vms: 30, events: [{ type: 'burst', atMs: 3_000, forMs: 6_000, factor: 2 }] }
].map(p => loadPatternSchema.parse(p))
