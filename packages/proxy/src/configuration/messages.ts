import { storedObjectSchema } from '@camphorpitch/wire'
import { z } from 'zod'

const revisionSchema = z.number().int().nonnegative()
const deltaFields = { from: revisionSchema, to: revisionSchema, objects: z.array(storedObjectSchema) }

/** Messages between VMs of the `configuration` slice. */
export const configurationPeerMessageSchema = z.discriminatedUnion('type', [
  /** Requests the changes after `since`. With `isFull`, the page is part of a full listing: the requester may lack deletions before `since`. */
  z.object({ type: z.literal('poll'), id: revisionSchema, since: revisionSchema, isFull: z.boolean() }),
  z.object({
    type: z.literal('reply'),
    id: revisionSchema,
    ...deltaFields,
    /** False when more pages follow after `to`. */
    isLast: z.boolean(),
    /** Milliseconds since the last time at which the sender is known to have had every accepted change; `null` if there was none. */
    ageMs: z.number().nonnegative().nullable(),
    fleetSize: revisionSchema
  }),
  /** The requester's revision is too old for a delta; it needs a full listing. */
  z.object({ type: z.literal('expired'), id: revisionSchema }),
  /** Changes, forwarded by each VM that did not have them yet. Without objects, it announces the sender's revision. */
  z.object({ type: z.literal('push'), ...deltaFields })
])
export type ConfigurationPeerMessage = z.infer<typeof configurationPeerMessageSchema>
export type ReplyMessage = Extract<ConfigurationPeerMessage, { type: 'reply' }>
