import type { Hello } from './envelope.ts'

/**
 * How a link was lost: `closed` after it was open, so everything in flight may have arrived or not;
 * `unreachable` when it could not be opened, so nothing sent since the last loss has arrived.
 */
export type LinkLoss = 'closed' | 'unreachable'
export type LossListener = (vm: string, loss: LinkLoss) => void
export type PeerHandler = (from: Hello, body: unknown) => void

/** Best-effort messages between the slices of different VMs. */
export abstract class PeerNetwork {
  /** Who this VM is to its peers. */
  abstract readonly self: Hello
  /** Sends to a member by name, opening a link if need be. Messages to one VM keep their order while its link lives; any may be lost. */
  abstract send (vm: string, slice: string, body: unknown): void
  /** Sends to an address, for a peer that membership does not know yet. */
  abstract sendTo (host: string, port: number, slice: string, body: unknown): void
  abstract subscribe (slice: string, handler: PeerHandler): void
  /** Calls `listener` when the link to a VM is lost. */
  abstract subscribeLoss (listener: LossListener): void
}
