import { logPositionSchema } from '@camphorpitch/wire'
import { z } from 'zod'
import { errorCodes } from '../backend/statement.ts'
import { routeSchema } from '../configuration/configuration.ts'
import type { Operation, Outcome } from '../statements/operation.ts'

/** Name of the slice on `PeerNetwork`. */
export const SERVING_SLICE = 'serving'
/** Size from which on the rows of an answer are sent in several messages, so that others are not held up behind all of them. */
const MAX_PART_BYTES = 256 * 1024
/** Bytes that a statement takes on the wire besides its texts: names of fields, route and envelope. */
const MESSAGE_OVERHEAD_BYTES = 400

/** Identifies a forwarded statement: numbers start again with each start of the client's VM. */
const requestIdShape = { incarnation: z.number(), request: z.number().int().nonnegative() }
const errorSchema = z.object({ code: z.enum(errorCodes), text: z.string() })
const modeSchema = z.enum(['read', 'write'])

/** A client's VM has a statement run by a serving VM. */
export const runSchema = z.object({
  type: z.literal('run'),
  ...requestIdShape,
  /** Start of the serving VM that is to run it: after a restart another one must not, as its sender takes it for lost. */
  servingIncarnation: z.number(),
  isWrite: z.boolean(),
  /** Time since the client's VM took up the statement, with the usual time on the way, in milliseconds. */
  elapsedMs: z.number().nonnegative(),
  /** Time of sending on the sender's clock; only differences between messages of one start of a VM are used. */
  sentAtMs: z.number(),
  statement: z.object({ id: z.string(), text: z.string(), type: z.enum(['read', 'write', 'execute']), name: z.string().optional() }),
  session: z.string(),
  /** All values of the session that were acknowledged to its client. */
  sessionValues: z.array(z.tuple([z.string(), z.string()])),
  /** The prepared statement that is executed; absent when none is. */
  prepared: z.object({ name: z.string(), mode: modeSchema, shape: z.string() }).optional(),
  workspace: z.string(),
  route: routeSchema,
  /** Regions whose endpoints may run it; absent for all. */
  allowedRegions: z.array(z.string()).optional(),
  position: logPositionSchema.nullable()
})
export type RunMessage = z.infer<typeof runSchema>

/** Rows of an answer that are followed by others. `part` counts from 0, so that lost and repeated messages are noticed. */
export const partSchema = z.object({ type: z.literal('part'), ...requestIdShape, part: z.number().int().nonnegative(), rows: z.array(z.string()) })
export type PartMessage = z.infer<typeof partSchema>
/** The outcome of a statement, with the last of its rows. */
export const outcomeSchema = z.object({
  type: z.literal('outcome'),
  ...requestIdShape,
  /** Number of `part` messages before it. */
  parts: z.number().int().nonnegative(),
  /** Time that the serving VM took, in milliseconds. */
  workMs: z.number().nonnegative(),
  outcome: z.union([
    z.object({ refusal: errorSchema }),
    z.object({
      endpoint: z.string(),
      response: z.object({ rows: z.array(z.string()), signature: z.string().nullable(), error: errorSchema.nullable(), state: z.enum(['idle', 'open', 'failed']), position: logPositionSchema.nullable() })
    })
  ])
})
export const notRunReasons = ['draining', 'overloaded', 'expired', 'notReceived', 'answerTooLarge', 'unknownService', 'restarted', 'endpointUnreachable'] as const
/** The statement was not run and will not be; a read with the reason `answerTooLarge` was run, and has to be run by the client's VM. */
export const notRunSchema = z.object({ type: z.literal('notRun'), ...requestIdShape, reason: z.enum(notRunReasons) })
export type NotRunReason = z.infer<typeof notRunSchema>['reason']
/** Asks what has become of a statement that was sent some time ago. */
export const inquirySchema = z.object({ type: z.literal('inquiry'), ...requestIdShape })
/** Withdraws a read that has been answered elsewhere: it is sent to no endpoint any more. Its outcome is told all the same. */
export const withdrawSchema = z.object({ type: z.literal('withdraw'), ...requestIdShape })
/** Tells that a statement is running, or that it has ended and no answer to it will be sent any more. */
export const statusSchema = z.object({ type: z.literal('status'), ...requestIdShape, isRunning: z.boolean() })

export const servingMessageSchema = z.discriminatedUnion('type', [
  runSchema,
  partSchema,
  outcomeSchema,
  notRunSchema,
  inquirySchema,
  withdrawSchema,
  statusSchema
])
export type ServingMessage = z.infer<typeof servingMessageSchema>
export type OutcomeMessage = z.infer<typeof outcomeSchema>

/** Estimates the size of a statement on the wire, in bytes. */
export function estimateBytes ({ statement, requiredState, preparedName }: Operation): number {
  let bytes = MESSAGE_OVERHEAD_BYTES + statement.text.length
  for (const [name, value] of requiredState.sessionValues) bytes += name.length + value.length
  const prepared = preparedName === null ? undefined : requiredState.preparedStatements.get(preparedName)
  return bytes + (prepared?.shape.length ?? 0)
}

export interface RunOptions { incarnation: number, request: number, servingIncarnation: number, isWrite: boolean, elapsedMs: number, sentAtMs: number }

/**
 * Encodes an operation for the VM that is to run it. Its session's values are sent in full and as they are now: the client's session runs one
 * statement at a time, so they don't change before its outcome.
 */
export function encodeOperation (operation: Operation, options: RunOptions): RunMessage {
  const { statement, requiredState, preparedName, workspace, route, allowedRegions, sessionPosition } = operation
  if (statement.type !== 'read' && statement.type !== 'write' && statement.type !== 'execute') throw new Error(`a statement of type ${statement.type} can't be forwarded`)
  const prepared = preparedName === null ? undefined : requiredState.preparedStatements.get(preparedName)
  return {
    type: 'run',
    ...options,
    statement: { id: statement.id, text: statement.text, type: statement.type, ...(statement.type === 'execute' && { name: statement.name }) },
    session: requiredState.session,
    sessionValues: [...requiredState.sessionValues],
    ...(prepared !== undefined && preparedName !== null && { prepared: { name: preparedName, ...prepared } }),
    workspace,
    route,
    ...(allowedRegions !== undefined && { allowedRegions: [...allowedRegions] }),
    position: sessionPosition
  }
}

/**
 * Rebuilds the operation of a message.
 *
 * @param sender identifies the VM that sent it and its start. Sessions of different VMs, or of different starts of one, may have the same name;
 *   a pooled connection that held the values of one must not be taken to hold those of the other
 * @param receivedAtMs time at which the client's VM took up the statement, on the local clock
 */
export function decodeOperation ({ statement: { id, text, type, name }, session, sessionValues, prepared, workspace, route, allowedRegions, position }: RunMessage, sender: string, receivedAtMs: number): Operation {
  return {
    statement: type === 'execute' ? { id, text, type, name: name ?? '' } : { id, text, type },
    requiredState: {
      session: `${sender}/${session}`,
      sessionValues: new Map(sessionValues),
      preparedStatements: new Map(prepared === undefined ? [] : [[prepared.name, { mode: prepared.mode, shape: prepared.shape }]])
    },
    preparedName: prepared?.name ?? null,
    workspace,
    route,
    allowedRegions,
    sessionPosition: position,
    receivedAtMs
  }
}

/** Splits the rows of an answer into parts of at most `MAX_PART_BYTES`, or of one row; at least one part. */
export function buildParts (rows: readonly string[]): string[][] {
  const parts: string[][] = [[]]
  let bytes = 0
  for (const row of rows) {
    if (bytes > 0 && bytes + row.length > MAX_PART_BYTES) {
      parts.push([])
      bytes = 0
    }
    parts.at(-1)!.push(row)
    bytes += row.length
  }
  return parts
}

/** Counts the characters of an answer's rows. */
export function countAnswerBytes (outcome: Outcome): number {
  return 'refusal' in outcome ? 0 : outcome.response.rows.reduce((sum, r) => sum + r.length, 0)
}
