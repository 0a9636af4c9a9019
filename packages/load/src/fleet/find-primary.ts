import { readJson } from './read-json.ts'
import type { Fleet, FleetEndpoint } from './start-fleet.ts'

interface EndpointState { status: { role: string, term: number } }

/**
 * Asks each instance of a database for its role.
 *
 * @returns the instance that is primary in the highest term, or `undefined` while none is
 */
export async function findPrimary (fleet: Fleet, database: string): Promise<FleetEndpoint | undefined> {
  const group = fleet.endpoints.filter(e => e.database === database)
  const terms = await Promise.all(group.map(async endpoint => ({ endpoint, term: await readPrimaryTerm(endpoint) })))
  const primaries = terms.filter(t => t.term > 0).sort((a, b) => b.term - a.term)
  return primaries[0]?.endpoint
}

async function readPrimaryTerm (endpoint: FleetEndpoint): Promise<number> {
  const state = await readJson<EndpointState>(`${endpoint.controlUrl}/state`)
  return state?.status.role === 'primary' ? state.status.term : 0
}
