import { vmSchema } from '@camphorpitch/wire'
import { z } from 'zod'

/** Maximum number of members in one message of a full state sync. */
export const SYNC_CHUNK_SIZE = 100
/** Maximum number of updates in one probe or gossip message. */
export const MAX_UPDATES = 8
/** Maximum number of accusers that are kept and sent for one member. */
export const MAX_ACCUSERS = 4

/** What the sender knows of one member. Of two updates, the one with the higher incarnation wins. */
export const memberUpdateSchema = z.object({
  vm: z.string(),
  host: z.string(),
  peerPort: z.number().int(),
  failureDomain: z.string(),
  region: z.string(),
  incarnation: z.number().int(),
  /** Incarnation in the hello of the member's process; unlike `incarnation`, it stays the same when the member refutes a report. */
  processIncarnation: z.number().int(),
  /** True once the member announces that it leaves, or the platform lists it so, until a higher incarnation. */
  isLeaving: z.boolean(),
  /** VMs whose probes of this incarnation failed. */
  accusers: z.array(z.string()).max(MAX_ACCUSERS),
  /** The sender has confirmed the member dead; a receiver that knows the member verifies that before it does the same. */
  isDead: z.boolean()
})
export type MemberUpdate = z.infer<typeof memberUpdateSchema>

const updatesSchema = z.array(memberUpdateSchema).max(SYNC_CHUNK_SIZE)

/** Messages of the `membership` slice between VMs. */
export const membershipMessageSchema = z.discriminatedUnion('type', [
  /** Requests an `ack` with the same sequence; a `digest` lets the receiver compare the two views. */
  z.object({ type: z.literal('ping'), sequence: z.number().int(), updates: updatesSchema, digest: z.number().int().optional() }),
  z.object({ type: z.literal('ack'), sequence: z.number().int(), updates: updatesSchema }),
  /** Requests that the receiver pings `vm` and forwards the ack. */
  z.object({ type: z.literal('relay'), sequence: z.number().int(), vm: z.string(), updates: updatesSchema }),
  z.object({ type: z.literal('gossip'), updates: updatesSchema }),
  /** A chunk of the sender's whole view; `wantsReply` on the last chunk requests the receiver's view. */
  z.object({ type: z.literal('sync'), updates: updatesSchema, isLast: z.boolean(), wantsReply: z.boolean() })
])
export type MembershipMessage = z.infer<typeof membershipMessageSchema>

/** Inputs of the membership slice: from its timer, its peers, the platform's list and its own VM. */
export const membershipInputSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('tick') }),
  z.object({ type: z.literal('received'), from: z.string(), body: membershipMessageSchema }),
  /** The platform's list of VMs, which may be out of date. */
  z.object({ type: z.literal('listed'), vms: z.array(vmSchema) }),
  z.object({ type: z.literal('linkLost'), vm: z.string() }),
  z.object({ type: z.literal('leave') })
])
export type MembershipInput = z.infer<typeof membershipInputSchema>
