import type { ResultPart } from '../pool/result-part-queue.ts'
import type { ServingContext } from './serving-context.ts'

/** Workspace under which the proxy's own statements queue for connections. */
const SYSTEM_WORKSPACE = 'camphorpitch system'
const STATEMENT_TIMEOUT_MS = 5_000

/**
 * Runs a statement that the proxy itself issues, and returns the last part of the endpoint's response;
 * `undefined` when no connection was granted or the response was not complete. A failed statement is logged.
 */
export async function runSystemStatement (context: ServingContext, endpoint: string, text: string): Promise<ResultPart | undefined> {
  const { database, logger, clock, pools } = context
  const lease = await pools.findPool(endpoint)?.acquire({ workspace: SYSTEM_WORKSPACE, isPinned: false, deadlineMs: clock.readNow() + STATEMENT_TIMEOUT_MS }).acquisition
  if (lease === undefined || !lease.granted) return undefined
  let last: ResultPart | undefined
  try {
    for await (const part of lease.connection.runStatement(text, STATEMENT_TIMEOUT_MS)) last = part
    if (last?.kind === 'failed') logger.debug('system statement rejected by endpoint', { database: database.database, endpoint, reason: last.message })
    return last
  } catch (error) {
    logger.debug('system statement not completed', { database: database.database, endpoint, reason: String(error) })
    return undefined
  } finally {
    lease.release(lease.connection.isReusable())
  }
}
