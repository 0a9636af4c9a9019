import { z } from 'zod'
import { logPositionSchema } from '../database/position.ts'

/** Workspaces named in a status; those that use most of their rate come first. */
export const MOST_STATUS_WORKSPACES = 100
/** Services named in a status. */
export const MOST_STATUS_SERVICES = 200

/** Why a gateway does not use an endpoint, or would rather use another one. */
export const endpointDoubtSchema = z.enum(['draining', 'lagging', 'silent', 'refusing', 'avoided'])
export type EndpointDoubt = z.infer<typeof endpointDoubtSchema>

/** What one VM's gateway believes and uses, as `/status` on its metrics address shows it. Bounded, whatever the size of the deployment. */
export const gatewayStatusSchema = z.object({
  vm: z.string(),
  isReady: z.boolean(),
  configurationVersion: z.number().int(),
  /** Other VMs that it knows, and those of them that answer. */
  vms: z.object({ known: z.number().int(), heard: z.number().int() }),
  sessions: z.number().int(),
  services: z.array(z.object({
    service: z.string(),
    primary: z.string().nullable(),
    /** 0 while it is not known. */
    term: z.number().int(),
    /** Whether the gateway trusts the primary for strict reads now. */
    isTrusted: z.boolean(),
    acknowledged: logPositionSchema.nullable(),
    endpoints: z.number().int(),
    doubtful: z.array(z.object({ endpoint: z.string(), doubts: z.array(endpointDoubtSchema) }))
  })),
  workspaces: z.array(z.object({
    workspace: z.string(),
    /** Operations that all VMs were asked for in the last window, as this VM knows it. */
    demand: z.number(),
    /** Operations that the rate allows in a window, without the burst. */
    allowed: z.number(),
    /** This VM's part of the limit; 0 where other VMs count it. */
    share: z.number()
  }))
})
export type GatewayStatus = z.infer<typeof gatewayStatusSchema>
