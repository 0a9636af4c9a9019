import type { LimitOwners } from '@camphorpitch/wire'
import type { Admission } from './limiter.ts'
import type { LimitMessage } from './messages.ts'

/** What the host of the limits decision must do. */
export type LimitEffect =
  | { type: 'resolve', requestId: number, admission: Admission }
  | { type: 'send', vm: string, body: LimitMessage }
  /** Deliver a tick at this time, in place of any later one. */
  | { type: 'wake', atMs: number }
  | { type: 'read-owners' }
  | { type: 'list-vms' }
  | { type: 'write-owners', version: number, value: LimitOwners }
  | { type: 'log', message: string, fields: Record<string, unknown> }
  | { type: 'stopped' }

/** Who this process is to its peers. */
export interface VmProcess {
  vm: string
  incarnation: number
}
