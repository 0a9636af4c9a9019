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
  /** Time after which a statement's route gives it up, in milliseconds. */
  statementTimeoutMs: z.number().positive().default(800),
  /** Fraction of requests that are transactions of a read, a write and a commit, each of which takes `workMs`. */
  transactionFraction: z.number().min(0).max(1).default(0),
  priority: z.number().int(),
  /** Benefit of a request answered within its objective, and of one answered later. */
  worth: z.number().positive(),
  lateWorth: z.number().nonnegative()
})
export type RequestKind = z.infer<typeof requestKindSchema>

/** What happens in a load pattern. Times are in milliseconds from its start. */
export const loadEventSchema = z.discriminatedUnion('type', [
  /** All clients send `factor` times as much, of one kind only if it is given. */
  z.object({ type: z.literal('burst'), atMs: z.number(), forMs: z.number(), factor: z.number().positive(), kind: z.string().optional() }),
  /** The demand of a domain's clients swings by `amplitude` with the period; the other clients' demand stays. */
  z.object({ type: z.literal('wave'), domain: z.string(), amplitude: z.number().min(0).max(1), periodMs: z.number().positive() }),
  /** Half of a domain's clients move to another domain. */
  z.object({ type: z.literal('moveClients'), atMs: z.number(), from: z.string(), to: z.string() }),
  /** Clients of the first workspace open `count` transactions on each service and leave them idle, each for `holdMs`. */
  z.object({ type: z.literal('idleTransactions'), atMs: z.number(), forMs: z.number(), count: z.number().int(), holdMs: z.number().positive() }),
  /** Another endpoint of the service is promoted, which takes effect after `tookMs`. */
  z.object({ type: z.literal('promotion'), atMs: z.number(), service: z.string(), tookMs: z.number().positive() }),
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
  /** Domains of a region. With 1, the endpoints of a service stand in consecutive domains, otherwise in consecutive regions. */
  domainsPerRegion: z.number().int().positive().default(1),
  /** Whether the primaries of all services stand in the first domain. */
  arePrimariesTogether: z.boolean().default(false),
  /** Requests go to the services in proportion to 1 / rank ** serviceSkew; 0: to all alike. */
  serviceSkew: z.number().nonnegative().default(0),
  /** Number of VMs of each region to which the single statements of a service go; 0: each VM runs those of its clients. */
  servingVms: z.number().int().nonnegative().default(0),
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

const kinds: Array<z.input<typeof requestKindSchema>> = [
  { name: 'filing', ratePerSecond: 37.7, writeFraction: 0.5, consistency: 'primary', maxStalenessMs: 0, workMs: 6, objectiveMs: 300, deadlineMs: 2_000, priority: 1, worth: 2, lateWorth: 0.2 },
  { name: 'dashboard', ratePerSecond: 37.7, writeFraction: 0, consistency: 'boundedStaleness', maxStalenessMs: 2_500, workMs: 30, objectiveMs: 600, deadlineMs: 4_000, priority: 2, worth: 1, lateWorth: 0.1 },
  { name: 'amendment', ratePerSecond: 126, writeFraction: 0.2, consistency: 'readYourWrites', maxStalenessMs: 2_500, workMs: 18, objectiveMs: 500, deadlineMs: 2_000, priority: 2, worth: 2, lateWorth: 0.1 }
]
const small = { seed: 1, durationMs: 14_000, vms: 9, services: 3, workspaces: 8, endpoint: { slots: 3, queue: 24, maxConnections: 23, handshakeMs: 12 }, kinds }

const kindsOfFirst: typeof kinds = [
  { name: 'urgent', ratePerSecond: 83, writeFraction: 0.2, transactionFraction: 0.25, consistency: 'primary', maxStalenessMs: 0, workMs: 6.8, objectiveMs: 400, deadlineMs: 4_000, statementTimeoutMs: 4_000, priority: 1, worth: 2, lateWorth: 0.2 },
  { name: 'bounded', ratePerSecond: 83, writeFraction: 0, consistency: 'boundedStaleness', maxStalenessMs: 1_500, workMs: 34, objectiveMs: 800, deadlineMs: 8_000, statementTimeoutMs: 8_000, priority: 3, worth: 1, lateWorth: 0.1 },
  { name: 'own writes', ratePerSecond: 388, writeFraction: 0.12, transactionFraction: 0.12, consistency: 'readYourWrites', maxStalenessMs: 2_500, workMs: 20, objectiveMs: 800, deadlineMs: 4_000, statementTimeoutMs: 4_000, priority: 2, worth: 2, lateWorth: 0.1 }
]
const kindsOfSecond: typeof kinds = [
  { ...kindsOfFirst[0]!, ratePerSecond: 76, writeFraction: 0.35, transactionFraction: 0.4, workMs: 8, deadlineMs: 2_000, statementTimeoutMs: 2_000, priority: 0 },
  { ...kindsOfFirst[1]!, ratePerSecond: 132, workMs: 40, deadlineMs: 5_000, statementTimeoutMs: 5_000 },
  { ...kindsOfFirst[2]!, ratePerSecond: 356, workMs: 24, objectiveMs: 1_500, deadlineMs: 2_000, statementTimeoutMs: 2_000 }
]
const first = { seed: 1, durationMs: 10_000, vms: 35, failureDomains: 6, domainsPerRegion: 2, arePrimariesTogether: true, services: 6, serviceSkew: 1.1, workspaces: 87, endpoint: { slots: 5, queue: 40, maxConnections: 82, handshakeMs: 12 }, kinds: kindsOfFirst }
const second = { ...first, vms: 59, serviceSkew: 0.95, workspaces: 72, endpoint: { ...first.endpoint, maxConnections: 56 }, kinds: kindsOfSecond }

/** The load patterns that the decisions on waiting, refusing and placing are tested with. */
export const loadPatterns: LoadPattern[] = [
  { ...small, name: 'calm' },
  { ...small, name: 'power-off of all VMs', events: [{ type: 'powerOff', atMs: 4_000, downMs: 1_100, lingerMs: 3_000 }] },
  { ...small, name: 'burst of 2 beside a dark primary', events: [{ type: 'burst', atMs: 3_000, forMs: 6_000, factor: 2 }, { type: 'darkEndpoint', atMs: 4_000, forMs: 3_000, endpoint: 's0-e0' }] },
  { ...small, name: 'a workspace at nine times its usual', events: [{ type: 'hotWorkspace', atMs: 3_000, forMs: 7_000, factor: 9 }] },
  { ...small, name: 'burst of 2 beside a slow endpoint', events: [{ type: 'burst', atMs: 3_000, forMs: 6_000, factor: 2 }, { type: 'slowEndpoint', atMs: 3_000, forMs: 6_000, endpoint: 's1-e1', factor: 5 }] },
  { ...small, name: 'burst of 4', events: [{ type: 'burst', atMs: 3_000, forMs: 6_000, factor: 4 }] },
  { ...small, name: 'burst of 2 on 30 VMs', vms: 30, events: [{ type: 'burst', atMs: 3_000, forMs: 6_000, factor: 2 }] },
  { ...first, name: '35 VMs, calm' },
  { ...first, name: '35 VMs, a wave and a burst', events: [{ type: 'wave', domain: 'd0', amplitude: 0.55, periodMs: 15_000 }, { type: 'burst', atMs: 3_000, forMs: 4_000, factor: 1.8 }] },
  { ...first, name: '35 VMs, moved clients and a hot workspace', events: [{ type: 'moveClients', atMs: 2_000, from: 'd2', to: 'd0' }, { type: 'hotWorkspace', atMs: 3_000, forMs: 5_000, factor: 8 }] },
  { ...first, name: '35 VMs, a replica that flaps', serviceSkew: 1.35, events: [2_000, 4_000, 6_000].map(atMs => ({ type: 'darkEndpoint' as const, atMs, forMs: 900, endpoint: 's0-e1' })) },
  { ...first, name: '35 VMs, a promotion under a burst', serviceSkew: 1.05, events: [{ type: 'burst', atMs: 2_000, forMs: 5_000, factor: 1.8 }, { type: 'promotion', atMs: 4_000, service: 's0', tookMs: 300 }] },
  { ...first, name: '35 VMs, a start of all VMs', events: [{ type: 'powerOff', atMs: 2_000, downMs: 500, lingerMs: 3_000 }] },
  { ...second, name: '59 VMs, bursts of the lowest and of the highest kind', events: [{ type: 'burst', atMs: 2_000, forMs: 4_000, factor: 2.5, kind: 'bounded' }, { type: 'burst', atMs: 4_000, forMs: 4_000, factor: 1.9, kind: 'urgent' }] },
  { ...second, name: '59 VMs, a hot workspace', serviceSkew: 0.85, events: [{ type: 'hotWorkspace', atMs: 2_000, forMs: 6_000, factor: 7 }] },
  { ...second, name: '59 VMs, idle transactions hold connections', serviceSkew: 1.35, events: [{ type: 'idleTransactions', atMs: 2_000, forMs: 6_000, count: 30, holdMs: 2_000 }] },
  { ...first, name: '35 VMs with serving VMs, a wave and a burst', serviceSkew: 1.2, servingVms: 2, events: [{ type: 'wave', domain: 'd0', amplitude: 0.55, periodMs: 15_000 }, { type: 'burst', atMs: 3_000, forMs: 4_000, factor: 1.8 }] },
  { ...first, name: '35 VMs with serving VMs, a hot workspace', serviceSkew: 1.2, servingVms: 2, events: [{ type: 'hotWorkspace', atMs: 2_000, forMs: 6_000, factor: 8 }] }
].map(p => loadPatternSchema.parse(p))
