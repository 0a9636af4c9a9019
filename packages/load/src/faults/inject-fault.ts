import { databaseSchema } from '@camphorpitch/wire'
import { ExperimentError } from '../experiment/errors.ts'
import type { Fault } from '../experiment/schema.ts'
import { findPrimary } from '../fleet/find-primary.ts'
import type { Fleet, FleetEndpoint } from '../fleet/start-fleet.ts'
import type { ReadCounter } from '../measures/read-counter.ts'

/**
 * Injects one fault through a control port, a link or the object service, or by a signal to a process of the fleet.
 *
 * @param reads saves the statements of a primary before it is killed
 * @throws ExperimentError when the target of the fault does not exist, or a stand-in rejects the fault
 */
export async function injectFault (fleet: Fleet, fault: Fault, reads: ReadCounter): Promise<void> {
  switch (fault.kind) {
    case 'kill-primary':
      await killPrimary(fleet, fault.database, reads)
      break
    case 'freeze-primary':
      await freezePrimary(fleet, fault.database, fault.forMs)
      break
    case 'endpoint':
      await sendFaults(findEndpoint(fleet, fault.endpoint).controlUrl, fault.faults)
      break
    case 'link':
      findEndpoint(fleet, fault.endpoint).link.setMode(fault.mode, fault.delayMs)
      break
    case 'platform':
      await sendFaults(fleet.platformControlUrl, fault.faults)
      break
    case 'signal-vm':
      findVm(fleet, fault.vm).process.signal(fault.signal)
      break
    case 'leave-endpoint':
      await setEndpointLeaving(fleet, fault.database, fault.endpoint)
      break
    case 'start-vm':
      await fleet.startVm(fault.vm, fault.failureDomain)
  }
}

async function setEndpointLeaving ({ objectClient }: Fleet, databaseName: string, endpoint: string): Promise<void> {
  const stored = await objectClient.readObject('database', databaseName)
  const database = databaseSchema.parse(stored.value)
  const endpoints = database.endpoints.map(e => e.endpoint === endpoint ? { ...e, state: 'leaving' as const } : e)
  await objectClient.writeObject('database', databaseName, stored.version, { ...database, endpoints })
}

async function killPrimary (fleet: Fleet, database: string, reads: ReadCounter): Promise<void> {
  const primary = await findCurrentPrimary(fleet, database)
  await reads.saveStatements(primary)
  primary.process.signal('SIGKILL')
}

/** Freezes the primary and returns at once; it is unfrozen after `forMs`. */
async function freezePrimary (fleet: Fleet, database: string, forMs: number): Promise<void> {
  const { controlUrl } = await findCurrentPrimary(fleet, database)
  await sendFaults(controlUrl, { freeze: true })
  setTimeout(() => { sendFaults(controlUrl, { freeze: false }).catch(() => {}) }, forMs)
}

/** @throws ExperimentError when the group has no primary */
async function findCurrentPrimary (fleet: Fleet, database: string): Promise<FleetEndpoint> {
  const primary = await findPrimary(fleet, database)
  if (primary === undefined) throw new ExperimentError(`expected a primary of database ${database}, found none`)
  return primary
}

async function sendFaults (controlUrl: string, faults: Record<string, unknown>): Promise<void> {
  const response = await fetch(`${controlUrl}/faults`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(faults) })
  if (!response.ok) throw new ExperimentError(`${controlUrl}/faults rejected the fault: ${await response.text()}`)
}

function findEndpoint (fleet: Fleet, name: string): FleetEndpoint {
  const found = fleet.endpoints.find(e => e.endpoint === name)
  if (found === undefined) throw new ExperimentError(`unknown endpoint ${name}: expected one of ${fleet.endpoints.map(e => e.endpoint).join(', ')}`)
  return found
}

function findVm (fleet: Fleet, name: string): Fleet['vms'][number] {
  const found = fleet.vms.find(v => v.vm === name)
  if (found === undefined) throw new ExperimentError(`unknown VM ${name}: expected one of ${fleet.vms.map(v => v.vm).join(', ')}`)
  return found
}
