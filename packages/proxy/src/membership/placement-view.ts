/** Which VMs hold connections to a database's endpoints. */
export abstract class PlacementView {
  /** VMs that serve the database, ordered by nearness to this VM. */
  abstract listServingVms (database: string): readonly string[]
  /** The same VMs in the order on which all VMs with the same members agree; the first VM acts where only one should. */
  abstract listRankedServingVms (database: string): readonly string[]
  abstract isServing (database: string): boolean
  /** Databases that this VM serves. */
  abstract listServedDatabases (): readonly string[]
  /** Number of connections that this VM may hold to an instance that accepts `maxConnections` from the fleet. */
  abstract computeConnectionShare (database: string, maxConnections: number): number
  /** Calls `listener` after each change of the serving VMs of any database. */
  abstract subscribe (listener: () => void): void
}
