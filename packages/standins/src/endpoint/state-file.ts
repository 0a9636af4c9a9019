import { appendFileSync, existsSync, readFileSync } from 'node:fs'
import { z } from 'zod'
import type { GroupState, LogEntry } from './group-rules.ts'

/**
 * What an instance must not forget over a restart: the term that it has promised and its log.
 *
 * The file holds one JSON object a line, each a change; reading it applies them in order.
 */
export interface StateFile {
  recordTerm: (state: GroupState) => void
  /** Records that the log now goes on with `entries` after its first `keptIndex` ones. */
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

/** Records nothing: the instance forgets all when it ends. */
export const nullStateFile: StateFile = { recordTerm: () => {}, recordEntries: () => {} }

export function openStateFile (path: string): StateFile {
  const write = (change: StateChange): void => { appendFileSync(path, `${JSON.stringify(change)}\n`) }
  return {
    recordTerm: ({ term, promoter, role, primary }) => { write({ kind: 'term', term, promoter, role, primary }) },
    recordEntries: (keptIndex, entries) => { write({ kind: 'entries', keptIndex, entries: [...entries] }) }
  }
}

/**
 * Brings a new state to what the file holds; a file that does not exist changes nothing.
 *
 * @throws ZodError, SyntaxError for a file of another kind
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
