import { appendFileSync, existsSync, readFileSync } from 'node:fs'
import { z } from 'zod'
import type { GroupState, LogEntry } from './group-rules.ts'

/**
 * Stores the state that an instance must keep over a restart: the term that it has promised and its log.
 *
 * Each line of the file is a change as a JSON object; reading the file applies the changes in order.
 */
export interface StateFile {
  recordTerm: (state: GroupState) => void
  /** Records that the log now consists of its first `keptIndex` entries, followed by `entries`. */
  recordEntries: (keptIndex: number, entries: readonly LogEntry[]) => void
}

const entrySchema = z.object({ term: z.number().int(), statements: z.array(z.string()) })
const changeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('term'),
    term: z.number().int(),
    promoter: z.string().nullable(),
    role: z.enum(['primary', 'replica', 'fenced']),
    primary: z.object({ instance: z.string(), host: z.string(), port: z.number() }).nullable()
  }),
  z.object({ kind: z.literal('entries'), keptIndex: z.number().int(), entries: z.array(entrySchema) })
])
type StateChange = z.infer<typeof changeSchema>

/** Stores nothing: the instance loses its state when it ends. */
export const nullStateFile: StateFile = { recordTerm: () => {}, recordEntries: () => {} }

/** Opens a state file, to which each change is appended synchronously; the first change creates it. */
export function openStateFile (path: string): StateFile {
  const write = (change: StateChange): void => { appendFileSync(path, `${JSON.stringify(change)}\n`) }
  return {
    recordTerm: ({ term, promoter, role, primary }) => { write({ kind: 'term', term, promoter, role, primary }) },
    recordEntries: (keptIndex, entries) => { write({ kind: 'entries', keptIndex, entries: [...entries] }) }
  }
}

/**
 * Applies the changes in the file to a new state; does nothing if the file does not exist.
 *
 * @throws ZodError, SyntaxError for a file that is not a state file
 */
export function readStateFile (path: string, state: GroupState): void {
  if (!existsSync(path)) return
  for (const line of readFileSync(path, 'utf8').split('\n')) {
    if (line !== '') applyChange(state, changeSchema.parse(JSON.parse(line)))
  }
}

function applyChange (state: GroupState, change: StateChange): void {
  if (change.kind === 'entries') {
    state.log.splice(change.keptIndex, state.log.length, ...change.entries)
    return
  }
  const { term, promoter, role, primary } = change
  Object.assign(state, { term, promoter, role, primary })
}
