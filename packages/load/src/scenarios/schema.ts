import { nameSchema } from '@camphorpitch/wire'
import { z } from 'zod'
import { faultSchema } from '../experiment/schema.ts'

/**
 * A scripted scenario: a fleet of processes, clients that check every response, and faults at given times.
 *
 * Every scenario checks the system's promises; `expect` adds the expectations of this scenario.
 */
export const scenarioSchema = z.strictObject({
  name: nameSchema,
  /** What the scenario demonstrates, as one sentence; part of its test's title. */
  about: z.string(),
  fleet: z.strictObject({
    vms: z.number().int().min(1).max(9).default(3),
    replicationDelayMs: z.number().nonnegative().default(2),
    maxConnections: z.number().int().min(10).default(20)
  }).prefault({}),
  /** Number of clients. */
  callers: z.number().int().min(1).max(64).default(9),
  /** Time between the setup and the first operation, for the fleet to settle. */
  settleMs: z.number().int().nonnegative().default(0),
  durationMs: z.number().int().min(1_000).max(60_000),
  faults: z.array(faultSchema).default([]),
  expect: z.strictObject({
    /** Longest time between two acknowledged writes of the whole run, in milliseconds. */
    maxGapMs: z.number().positive().optional(),
    /** Minimum number of reads served by replicas. */
    minReplicaReads: z.number().int().nonnegative().optional(),
    /** Whether any error that a client gets is a violation. */
    noFailures: z.boolean().default(false),
    /** Whether a fault whose target does not exist fails the run. Drawn scenarios skip such faults. */
    allFaults: z.boolean().default(true)
  }).prefault({})
})
export type Scenario = z.output<typeof scenarioSchema>
