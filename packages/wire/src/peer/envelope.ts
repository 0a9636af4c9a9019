import { z } from 'zod'

/** Version of the protocol between VMs; a VM refuses links to peers of another version. */
export const PEER_PROTOCOL_VERSION = 1
/** Largest message between VMs, in bytes. */
export const MAX_PEER_MESSAGE_BYTES = 32 * 1024 * 1024

/** The first message in each direction of a link. */
export const helloSchema = z.object({
  version: z.number().int(),
  vm: z.string(),
  /** Start time of the VM's process, in milliseconds since the epoch; increases with each start. */
  incarnation: z.number().int(),
  failureDomain: z.string()
})
export type Hello = z.infer<typeof helloSchema>

/** A message from a slice to the same slice of another VM; the receiving slice validates `body`. */
export const envelopeSchema = z.object({ slice: z.string(), body: z.unknown() })
export type Envelope = z.infer<typeof envelopeSchema>

/** Every message of a link after the hello: the envelopes sent in one turn of the event loop, in order, or a part of them if they are large. */
export const messageSchema = z.array(envelopeSchema)
