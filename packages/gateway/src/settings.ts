import { logLevelNames } from '@camphorpitch/wire'
import { z } from 'zod'

const addressSchema = z.string().regex(/^[\d.]+:\d+$/, 'expected ADDRESS:PORT')

/** Settings of one VM's gateway, read from JSON; unknown fields are ignored. */
export const gatewaySettingsSchema = z.object({
  vm: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().default(''),
  /** Region of each failure domain. */
  regions: z.record(z.string(), z.string()).default({}),
  /** Address at which this VM listens for links from other VMs and for metrics requests. */
  host: z.string(),
  /** Address to which clients connect. */
  clients: addressSchema,
  /** Address at which the load balancer checks whether this VM is ready. */
  readiness: addressSchema,
  /** First and last port of the range for links between VMs. */
  internalPorts: z.tuple([z.number().int(), z.number().int()]),
  /** Port of `/metrics`; the default is that of OpenTelemetry's Prometheus exporter. */
  metricsPort: z.number().int().positive().default(9_464),
  /** Whether the whole system starts for the first time, so that there is no earlier use of limits to account for. */
  isFirstStart: z.boolean().default(false),
  /** Address of the metadata store. */
  store: addressSchema,
  /** Address of the platform's promoter. */
  promoter: addressSchema,
  quota: z.object({
    /** Length of the window over which demand is measured, in seconds. */
    windowS: z.number().positive().default(5),
    /** Fraction of a workspace's limit by which the fleet may exceed it in a window. */
    overshoot: z.number().nonnegative().default(0.1),
    /** Number of operations by which the fleet may exceed the limit in a window, in addition to `overshoot`. */
    slack: z.number().nonnegative().default(20)
  }).default({ windowS: 5, overshoot: 0.1, slack: 20 }),
  /** Within which time the deployment expects a configuration version to be in force on every VM. */
  configurationBounds: z.object({
    /** Time for which a VM must have been without disruption, in milliseconds. */
    stableWindowMs: z.number().positive().default(4_000),
    /** Time from the store's acknowledgement of a version, in milliseconds. */
    applyMs: z.number().positive().default(3_000)
  }).default({ stableWindowMs: 4_000, applyMs: 3_000 }),
  /** Bound of evacuations; absent where the deployment has none, and then none are watched. */
  evacuation: z.object({
    /** Time from the store's acknowledgement of an evacuation until no request reaches the failure domain, in milliseconds. */
    applyMs: z.number().positive()
  }).optional(),
  /** By how much all VMs together may exceed the limit of an endpoint that is warming up; absent where the deployment has no such limit. */
  warmup: z.object({
    /** Factor on the limit's requests per second. */
    overshoot: z.number().positive(),
    /** Requests added to that. */
    slack: z.number().nonnegative()
  }).optional(),
  /** What this VM can bear; absent if the platform does not say. */
  capacity: z.object({
    /** Fraction of a core that the process may use. */
    cpuShare: z.number().positive(),
    /** Speed of that core, as a multiple of a usual one. */
    cores: z.number().positive(),
    /** Bandwidth of the VM's link, in megabits per second. */
    linkMbps: z.number().positive()
  }).optional(),
  /** Whether requests for a service that few VMs serve wait by priority, share and time left, and each VM limits what it has in flight (`docs/design/admission.md`). */
  scheduling: z.boolean().optional(),
  /** Time between SIGTERM and the end of the process, in seconds. */
  graceS: z.number().positive().default(6),
  logLevel: z.enum(logLevelNames).default('info')
})
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>
