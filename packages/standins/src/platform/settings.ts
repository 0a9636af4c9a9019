import { nameSchema, objectKinds, vmSchema } from '@camphorpitch/wire'
import { z } from 'zod'

const optionalPortSchema = z.number().int().min(0).max(65535)

/** Faults of the stand-in, which can be switched while it runs. */
export const platformFaultsSchema = z.strictObject({
  /** Every call is refused with HTTP status 503, including waiting watches. */
  outage: z.boolean().default(false),
  /** Calls are accepted and never get a response. */
  hang: z.boolean().default(false),
  /** Delay before each call takes effect, in milliseconds. */
  slowMs: z.number().int().nonnegative().default(0),
  /** Number of next writes that take effect but lose their response: the connection is closed before it is sent. */
  loseAnswers: z.number().int().nonnegative().default(0),
  /** Fraction of writes, 0 to 1, whose response is lost in the same way. */
  loseAnswerRate: z.number().min(0).max(1).default(0),
  /** Time until a change of the VM list becomes visible, in milliseconds. */
  vmLagMs: z.number().int().nonnegative().default(2_000)
})
export type PlatformFaults = z.output<typeof platformFaultsSchema>

/** Settings of `camphorpitch-platform`. Port 0 takes a free port. */
export const platformSettingsSchema = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: optionalPortSchema.default(0),
  controlPort: optionalPortSchema.default(0),
  writesPerSecond: z.number().int().positive().default(400),
  readsPerSecond: z.number().int().positive().default(2_000),
  /** Number of changes that a watch can go back; one from an older revision is refused with HTTP status 410. */
  historyLength: z.number().int().positive().default(10_000),
  /** Seed of the generator that picks the lost responses. */
  seed: z.number().int().default(1),
  faults: platformFaultsSchema.prefault({}),
  vms: z.array(vmSchema).default([]),
  objects: z.array(z.strictObject({ kind: z.enum(objectKinds), name: nameSchema, value: z.unknown() })).default([])
})
export type PlatformSettings = z.output<typeof platformSettingsSchema>
