import { logLevelNames } from '@camphorpitch/wire'
import { z } from 'zod'

const addressSchema = z.string().regex(/^[\d.]+:\d+$/, 'expected ADDRESS:PORT')

/** Settings of one VM's gateway, in JSON; unknown fields are ignored. */
export const gatewaySettingsSchema = z.object({
  vm: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().default(''),
  /** Region of each failure domain. */
  regions: z.record(z.string(), z.string()).default({}),
  /** Address for links between VMs and for metrics. */
  host: z.string(),
  /** Where clients connect. */
  clients: addressSchema,
  /** Where the balancer asks whether this VM is ready. */
  readiness: addressSchema,
  /** First and last of the ports for links between VMs. */
  internalPorts: z.tuple([z.number().int(), z.number().int()]),
  /** Port of `/metrics`; the default is the one of OpenTelemetry's Prometheus exporter. */
  metricsPort: z.number().int().positive().default(9_464),
  /** Whether the whole system starts for the first time. */
  isFirstStart: z.boolean().default(false),
  store: addressSchema,
  promoter: addressSchema,
  quota: z.object({
    windowS: z.number().positive().default(5),
    overshoot: z.number().nonnegative().default(0.1),
    slack: z.number().nonnegative().default(20)
  }).default({ windowS: 5, overshoot: 0.1, slack: 20 }),
  /** Time between SIGTERM and the end of the process, in seconds. */
  graceS: z.number().positive().default(6),
  logLevel: z.enum(logLevelNames).default('info')
})
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>
