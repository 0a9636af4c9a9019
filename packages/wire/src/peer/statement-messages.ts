import { z } from 'zod'
import { logPositionSchema } from '../database/position.ts'
import { refusalSchema } from '../errors/refusal.ts'

/** How a statement is handled. Only statements that certainly do nothing but read are `read`. */
export const statementClassSchema = z.enum(['read', 'write', 'begin', 'commit', 'rollback'])
export type StatementClass = z.infer<typeof statementClassSchema>

/** A statement that an entry VM sends to a VM that serves the database. */
export const statementRequestSchema = z.object({
  /** Unique in the fleet; consists of the entry VM, its incarnation and a counter. */
  requestId: z.string(),
  sessionId: z.string(),
  workspace: z.string(),
  database: z.string(),
  text: z.string(),
  class: statementClassSchema,
  /** Position that the read data must include; `null` requires all writes that were acknowledged before the request. */
  required: logPositionSchema.nullable(),
  /** Maximum age of the data that a read accepts, in milliseconds; 0 accepts no stale data. */
  maxAgeMs: z.number().nonnegative(),
  /** Time until the statement's deadline when the request was sent, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** Transaction that the statement belongs to, which identifies its pinned connection; `null` outside a transaction. */
  transactionId: z.string().nullable(),
  /** Id that the client gave this write, stored together with it; `null` for none. */
  writeId: z.string().nullable()
})
export type StatementRequest = z.infer<typeof statementRequestSchema>

export const columnSchema = z.object({
  name: z.string(),
  orgName: z.string(),
  table: z.string(),
  orgTable: z.string(),
  schema: z.string(),
  catalog: z.string(),
  characterSet: z.number(),
  columnLength: z.number(),
  columnType: z.number(),
  flags: z.number(),
  decimals: z.number()
})
export type Column = z.infer<typeof columnSchema>

/** A cell as the endpoint sent it: the bytes of its text format, or `null` for NULL. */
export type Cell = Uint8Array | null

/**
 * One part of the response to a statement. A result set consists of `columns`, any number of `rows`, then `end`; any
 * other response is one of the remaining kinds. For reads, `position` may follow `end` as the last frame.
 */
export const responseFrameSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('columns'), columns: z.array(columnSchema) }),
  z.object({ kind: z.literal('rows'), rows: z.array(z.array(z.custom<Cell>())) }),
  z.object({ kind: z.literal('end') }),
  z.object({
    kind: z.literal('ok'),
    affectedRows: z.number(),
    insertId: z.union([z.number(), z.string()]),
    /** Position of the commit; `null` where nothing was committed. */
    position: logPositionSchema.nullable(),
    /** The transaction that is open after this statement. */
    transactionId: z.string().nullable()
  }),
  /** Upper bound of the log entries that the read has seen, sent after `end`. */
  z.object({ kind: z.literal('position'), position: logPositionSchema }),
  /** Refused by the proxy itself. */
  z.object({ kind: z.literal('refused'), refusal: refusalSchema }),
  /** The endpoint's error, unchanged. */
  z.object({ kind: z.literal('failed'), errno: z.number(), sqlState: z.string(), message: z.string() }),
  /** Not run: the receiving VM does not serve the database; another VM may serve it. */
  z.object({ kind: z.literal('notServing') })
])
export type ResponseFrame = z.infer<typeof responseFrameSchema>

/** Messages of the `statements` slice between an entry VM and a serving VM. */
export const statementMessageSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('run'), stream: z.number().int(), request: statementRequestSchema }),
  /** `frame` is `null` if the last message only ends the stream. */
  z.object({ type: z.literal('frame'), stream: z.number().int(), frame: responseFrameSchema.nullable(), last: z.boolean() }),
  /** Flow control: the receiver has consumed `frames` more frames. */
  z.object({ type: z.literal('credit'), stream: z.number().int(), frames: z.number().int().positive() }),
  z.object({ type: z.literal('cancel'), stream: z.number().int() }),
  /** Rolls back a transaction whose client has disconnected. */
  z.object({ type: z.literal('abandon'), database: z.string(), transactionId: z.string() })
])
export type StatementMessage = z.infer<typeof statementMessageSchema>
