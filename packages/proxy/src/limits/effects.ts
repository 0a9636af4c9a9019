import type { LimitOwners } from '@camphorpitch/wire'
import type { Admission } from './limiter.ts'
import type { LimitMessage } from './messages.ts'

/** Side effects that the caller of `decideLimits` must run. */
export type LimitEffect =
  | { type: 'resolve', requestId: number, admission: Admission }
  | { type: 'send', vm: string, body: LimitMessage }
  /** Deliver a tick at `atMs`; replaces the tick scheduled before. */
  | { type: 'wake', atMs: number }
  | { type: 'read-owners' }
  | { type: 'list-vms' }
  | { type: 'write-owners', version: number, value: LimitOwners }
  | { type: 'log', message: string, fields: Record<string, unknown> }
  /** This VM is stopping and has no more shares to hand over, or no VM to hand them to. */
  | { type: 'stopped' }

/** A process as its peers know it: its VM, and an incarnation that tells restarts of the VM's process apart. */
export interface VmProcess {
  vm: string
  incarnation: number
}
