import { nameSchema } from '@camphorpitch/wire'
import { z } from 'zod'
import { faultSchema } from '../experiment/schema.ts'

/**
 * A scripted scenario: a fleet of processes, callers that check every answer, and faults at times.
 *
 * What must always hold is checked in every scenario; `expect` adds what this one is about.
 */
export const scenarioSchema = z.strictObject({
  name: nameSchema,
  /** What the scenario is to show. */
  about: z.string(),
  fleet: z.strictObject({
    vms: z.number().int().min(1).max(9).default(3),
    replicationDelayMs: z.number().nonnegative().default(2),
    maxConnections: z.number().int().min(10).default(20)
  }).prefault({}),
  callers: z.number().int().min(1).max(64).default(9),
  /** Time that the fleet has to come to rest before the callers begin. */
  settleMs: z.number().int().nonnegative().default(0),
  durationMs: z.number().int().min(1_000).max(60_000),
  faults: z.array(faultSchema).default([]),
  expect: z.strictObject({
    /** Longest time between two acknowledged writes of the whole run, in milliseconds. */
    maxGapMs: z.number().positive().optional(),
    /** Least number of reads that replicas served. */
    minReplicaReads: z.number().int().nonnegative().optional(),
    /** No statement may be refused, unknown or cut. */
    noFailures: z.boolean().default(false),
    /** Every fault must come about; a drawn one may find its target gone. */
    allFaults: z.boolean().default(true)
  }).prefault({})
})
export type Scenario = z.output<typeof scenarioSchema>
