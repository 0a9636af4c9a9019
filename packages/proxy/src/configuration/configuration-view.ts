import type { Contract, Database, FleetSecret, KeyRing, LimitOwners } from '@camphorpitch/wire'

/** Read access to the configuration for other slices. A value is only ever replaced by a newer version. */
export abstract class ConfigurationView {
  abstract findContract (workspace: string): Contract | undefined
  abstract findKeyRing (workspace: string): KeyRing | undefined
  abstract findDatabase (database: string): Database | undefined
  abstract findFleetSecret (): FleetSecret | undefined
  abstract findLimitOwners (): { version: number, value: LimitOwners } | undefined
  abstract listContracts (): readonly Contract[]
  abstract listDatabases (): readonly Database[]
  /** Revision of the object service up to which this VM has every change. */
  abstract readRevision (): number
  /**
   * Whether keys may be accepted. False when this VM may have missed the withdrawal of a key: neither the
   * object service nor a peer has recently confirmed that its configuration is complete, and it has no
   * contact with a majority of the fleet.
   */
  isCurrent (): boolean {
    return true
  }

  /** Calls `listener` after each change, with the kind and name of the changed object. */
  abstract subscribe (listener: (kind: string, name: string) => void): void
}
