import { z } from 'zod'
import { logPositionSchema, termStartSchema, type LogPosition } from '@camphorpitch/wire'
import type { LogRequest, PrimaryAddress } from './group-rules.ts'

export type GroupCommand =
  | { kind: 'status' }
  | { kind: 'fence', term: number, promoter: string }
  | { kind: 'promote', term: number, promoter: string }
  | { kind: 'follow', term: number, primary: PrimaryAddress }
  | { kind: 'wait', position: LogPosition, timeoutMs: number }
  | { kind: 'log', request: LogRequest, replica: string, waitMs: number }

const logRequestSchema = z.object({ term: z.number().int(), length: z.number().int(), termStarts: z.array(termStartSchema) })

export const shipmentSchema = z.object({
  term: z.number().int(),
  previous: logPositionSchema,
  entries: z.array(z.object({ term: z.number().int(), statements: z.array(z.string()) }))
})

/** Formats the statement with which a replica requests log entries from its primary. Only instances send it. */
export function formatLogRequest (request: LogRequest, replica: string, waitMs: number): string {
  return `GROUP LOG '${JSON.stringify(request)}' FOR '${replica}' WAIT ${waitMs}`
}

type Parser = [RegExp, (groups: string[]) => GroupCommand]

const parsers: Parser[] = [
  [/^SHOW GROUP STATUS$/i, () => ({ kind: 'status' })],
  [/^GROUP FENCE TERM (\d+) BY '([^']*)'$/i, ([term, promoter]) => ({ kind: 'fence', term: Number(term), promoter: promoter! })],
  [/^GROUP PROMOTE TERM (\d+) BY '([^']*)'$/i, ([term, promoter]) => ({ kind: 'promote', term: Number(term), promoter: promoter! })],
  [/^GROUP FOLLOW '([^']*)' AT '([^':]*):(\d+)' TERM (\d+)$/i, ([instance, host, port, term]) => ({
    kind: 'follow', term: Number(term), primary: { instance: instance!, host: host!, port: Number(port) }
  })],
  [/^GROUP WAIT TERM (\d+) INDEX (\d+) TIMEOUT (\d+)$/i, ([term, index, timeout]) => ({
    kind: 'wait', position: { term: Number(term), index: Number(index) }, timeoutMs: Number(timeout)
  })],
  [/^GROUP LOG '([^']*)' FOR '([^']*)' WAIT (\d+)$/i, ([request, replica, wait]) => ({
    kind: 'log', request: logRequestSchema.parse(JSON.parse(request!)), replica: replica!, waitMs: Number(wait)
  })]
]

/**
 * Parses a statement that reads or changes the state of the group.
 *
 * @returns `null` for a text that is not a group statement
 * @throws SyntaxError, ZodError for a log request with an invalid body
 */
export function parseGroupCommand (text: string): GroupCommand | null {
  const trimmed = text.trim().replace(/;$/, '')
  for (const [pattern, build] of parsers) {
    const match = pattern.exec(trimmed)
    if (match !== null) return build(match.slice(1))
  }
  return null
}
