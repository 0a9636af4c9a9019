import { parseCommitInfo } from '@camphorpitch/wire'
import { isMissingTable } from '../retries/write-record.ts'
import { runSystemStatement } from './run-system-statement.ts'
import type { ServingContext } from './serving-context.ts'

const DURABLE_TIMEOUT_MS = 5_000
const TERM_TABLE = 'camphorpitch_term'
const CREATE_TERM_TABLE = `CREATE TABLE IF NOT EXISTS ${TERM_TABLE} (id INTEGER NOT NULL PRIMARY KEY, term BIGINT NOT NULL)`

/**
 * Confirms that the entries which a new primary took over from older terms survive the next promotion.
 *
 * Copies of an entry from an older term on other instances do not guarantee that (Ongaro and
 * Ousterhout, 2014, section 5.4.2). A durable entry of the primary's current term does, for all
 * entries before it. The barrier therefore writes such an entry when no client has.
 */
export interface TermBarrier {
  /** Resolves true once an entry of `term` is durable, and false when the write failed or was not durable in time. Concurrent calls share one write. */
  confirm: (context: ServingContext, endpoint: string, term: number) => Promise<boolean>
}

async function writeTermEntry (context: ServingContext, endpoint: string, term: number): Promise<boolean> {
  const text = `REPLACE INTO ${TERM_TABLE} (id, term) VALUES (1, ${term})`
  let last = await runSystemStatement(context, endpoint, text)
  if (last?.kind === 'failed' && isMissingTable(last.errno)) {
    await runSystemStatement(context, endpoint, CREATE_TERM_TABLE)
    last = await runSystemStatement(context, endpoint, text)
  }
  if (last?.kind !== 'header') return false
  const position = parseCommitInfo(last.header.info)
  if (position === null || position.term !== term) return false
  return await context.group.waitDurable(position, DURABLE_TIMEOUT_MS)
}

/**
 * Creates the barrier of one database.
 *
 * @example await barrier.confirm(context, 'orders-2', 4) // true
 */
export function createTermBarrier (): TermBarrier {
  const writesInFlight = new Map<number, Promise<boolean>>()

  async function writeAndLogTermEntry (context: ServingContext, endpoint: string, term: number): Promise<boolean> {
    try {
      const isDurable = await writeTermEntry(context, endpoint, term)
      context.logger.info('term confirmation completed', { database: context.database.database, endpoint, term, isDurable })
      return isDurable
    } catch (error) {
      context.logger.warn('term confirmation failed', { database: context.database.database, endpoint, term, reason: String(error) })
      return false
    } finally {
      writesInFlight.delete(term)
    }
  }

  return {
    confirm: (context, endpoint, term) => {
      const currentWrite = writesInFlight.get(term)
      if (currentWrite !== undefined) return currentWrite
      const newWrite = writeAndLogTermEntry(context, endpoint, term)
      writesInFlight.set(term, newWrite)
      return newWrite
    }
  }
}
