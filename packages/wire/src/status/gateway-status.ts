import { z } from 'zod'
import { logPositionSchema } from '../database/position.ts'

/** Maximum number of workspaces in a status; those that use the largest fraction of their rate come first. */
export const MAX_STATUS_WORKSPACES = 100
/** Maximum number of services in a status. */
export const MAX_STATUS_SERVICES = 200

/** Reasons for which a gateway does not use an endpoint, or prefers another one. `silent` endpoints do not respond. */
export const endpointDoubtSchema = z.enum(['draining', 'lagging', 'silent', 'refusing', 'avoided', 'cold'])
export type EndpointDoubt = z.infer<typeof endpointDoubtSchema>

/** State of one VM's gateway, as `/status` on its metrics address returns it. Its size is limited, whatever the size of the deployment. */
export const gatewayStatusSchema = z.object({
  vm: z.string(),
  isReady: z.boolean(),
  configurationVersion: z.number().int(),
  /** Epoch of the metadata store's revisions; rises each time the store returns from an older copy. */
  storeEpoch: z.number().int().default(0),
  /** Number of other VMs that the gateway knows, and number of those that respond. */
  vms: z.object({ known: z.number().int(), heard: z.number().int() }),
  sessions: z.number().int(),
  /** Evacuated failure domains. */
  evacuations: z.array(z.object({
    domain: z.string(),
    /** `leaving`: primaries and open transactions are still used; `ending`: open transactions are ended; `closed`: nothing is sent there. */
    phase: z.enum(['leaving', 'ending', 'closed']),
    /** Time since this VM learned of it. */
    learnedAgeMs: z.number(),
    /** From where: `store` or another VM. */
    source: z.string()
  })).default([]),
  services: z.array(z.object({
    service: z.string(),
    primary: z.string().nullable(),
    /** 0 while the term is not known. */
    term: z.number().int(),
    /** Whether the primary's leadership is verified, so that the gateway uses it for strict reads. */
    isTrusted: z.boolean(),
    acknowledged: logPositionSchema.nullable(),
    endpoints: z.number().int(),
    /** `share` is how many requests per second the VM may send to a cold endpoint, `null` if it does not know. */
    doubtful: z.array(z.object({ endpoint: z.string(), doubts: z.array(endpointDoubtSchema), share: z.number().nullish() }))
  })),
  workspaces: z.array(z.object({
    workspace: z.string(),
    /** Operations that clients requested from all VMs in the last window, as far as this VM knows. */
    demand: z.number(),
    /** Operations that the rate allows per window, without the burst. */
    allowed: z.number(),
    /** This VM's share of the limit; 0 if other VMs count the limit. */
    share: z.number()
  }))
})
export type GatewayStatus = z.infer<typeof gatewayStatusSchema>
