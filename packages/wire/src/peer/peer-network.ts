import type { Hello } from './envelope.ts'

/**
 * How a link was lost. `closed`: it was open, so messages in flight may or may not have arrived.
 * `unreachable`: it could not be opened, so no message sent since the previous loss has arrived, or will.
 */
export type LinkLoss = 'closed' | 'unreachable'
export type LinkLossListener = (vm: string, loss: LinkLoss) => void
export type PeerHandler = (from: Hello, body: unknown) => void

/** Sends best-effort messages between the slices of different VMs. */
export abstract class PeerNetwork {
  /** The hello message of this VM, which identifies it to its peers. */
  abstract readonly self: Hello
  /** Sends a message to a VM by name, and opens a link if there is none. Messages to one VM stay in order on the same link; any of them may be lost. */
  abstract send (vm: string, slice: string, body: unknown): void
  /** Sends a message to an address, for a peer that is not a known member yet. */
  abstract sendTo (host: string, port: number, slice: string, body: unknown): void
  /** Calls `handler` with each message to `slice`. */
  abstract subscribe (slice: string, handler: PeerHandler): void
  /** Calls `listener` when the link to a VM is lost. */
  abstract subscribeLinkLoss (listener: LinkLossListener): void
}
