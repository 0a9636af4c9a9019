import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import type { ClientSession } from '../sessions/client-session.ts'
import type { ActiveEvacuation } from './evacuations.ts'

type TransactionSession = Pick<ClientSession, 'transactionEndpoint' | 'endTransaction'>

/**
 * Ends the transactions that are open in failure domains whose evacuation is past its first phase. A statement that is running is waited for;
 * the client is told with its next one.
 *
 * @param estimateReturnMs returns when the client should run the transaction again, by the endpoint at which it is open
 */
export function endEvacuatedTransactions (sessions: Iterable<TransactionSession>, evacuations: ReadonlyMap<string, Pick<ActiveEvacuation, 'phase'>>, estimateReturnMs: (entry: EndpointEntry) => number): void {
  if (evacuations.size === 0) return
  for (const session of sessions) {
    const entry = session.transactionEndpoint
    const phase = entry === null ? undefined : evacuations.get(entry.failureDomain)?.phase
    if (entry === null || phase === undefined || phase === 'leaving') continue
    session.endTransaction(`the failure domain ${entry.failureDomain} is evacuated; retry after ${Math.ceil(estimateReturnMs(entry))} ms`)
  }
}
