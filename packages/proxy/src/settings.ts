import { logLevelNames, nameSchema } from '@camphorpitch/wire'
import { z } from 'zod'

const addressSchema = z.strictObject({
  host: z.string().default('127.0.0.1'),
  /** 0 selects a free port. */
  port: z.number().int().min(0).max(65535)
})

/** Settings of `camphorpitch-proxy`, one JSON file per VM. */
export const proxySettingsSchema = z.strictObject({
  vm: nameSchema,
  failureDomain: nameSchema,
  region: nameSchema.default('default'),
  /** Address on which clients connect with the MySQL protocol. */
  callers: addressSchema,
  /** Address on which other VMs connect; they must be able to reach this host. */
  peers: addressSchema,
  /** Address on which `GET /metrics` is served. */
  metrics: addressSchema.prefault({ port: 0 }),
  /** Base URL of the platform's object service. */
  platform: z.url(),
  logLevel: z.enum(logLevelNames).default('info'),
  /** Maximum number of client connections to this VM, over all workspaces. */
  maxConnections: z.number().int().positive().default(10_000),
  /** Maximum time for which a planned stop waits for running statements and open transactions, in milliseconds. */
  drainLimitMs: z.number().int().positive().default(60_000)
})
export type ProxySettings = z.output<typeof proxySettingsSchema>
