import { setTimeout as sleep } from 'node:timers/promises'
import { MAX_OBJECT_BYTES, nameSchema, objectKinds } from '@camphorpitch/wire'
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import { z } from 'zod'
import type { CallType } from './call-meter.ts'
import { versionConflict } from './object-store.ts'
import type { PlatformState } from './platform-state.ts'

const MAX_WAIT_MS = 60_000

const kindParamsSchema = z.object({ kind: z.enum(objectKinds) })
const objectParamsSchema = kindParamsSchema.extend({ name: nameSchema })
const versionSchema = z.coerce.number().int().nonnegative()
const watchQuerySchema = z.object({
  kinds: z.string().transform(text => new Set(text.split(',').filter(k => k !== ''))),
  since: z.coerce.number().int().nonnegative(),
  waitMs: z.coerce.number().int().min(0).max(MAX_WAIT_MS)
})

type Handler = (request: FastifyRequest, reply: FastifyReply) => Promise<unknown>

/** Builds the HTTP server of the object service; `@camphorpitch/wire` platform/api describes its protocol. */
export function createObjectServer (state: PlatformState): FastifyInstance {
  const server = fastify({ bodyLimit: MAX_OBJECT_BYTES, forceCloseConnections: true })
  server.setErrorHandler(async (error, _request, reply) => await sendError(reply, error))
  server.get('/v1/objects/:kind', applyFaults(state, 'list', async request => {
    const { kind } = kindParamsSchema.parse(request.params)
    return { revision: state.store.revision, objects: state.store.listObjects(kind) }
  }))
  server.get('/v1/objects/:kind/:name', applyFaults(state, 'read', async (request, reply) => {
    const { kind, name } = objectParamsSchema.parse(request.params)
    return state.store.findObject(kind, name) ?? await reply.code(404).send({ error: 'no such object' })
  }))
  server.put('/v1/objects/:kind/:name', applyFaults(state, 'write', async (request, reply) => {
    if (request.body === null || request.body === undefined) return await reply.code(400).send({ error: 'a value is required' })
    return await replaceObject(state, request, reply, request.body)
  }))
  server.delete('/v1/objects/:kind/:name', applyFaults(state, 'delete', async (request, reply) => await replaceObject(state, request, reply, null)))
  server.get('/v1/watch', applyFaults(state, 'watch', async (request, reply) => await watchChanges(state, request, reply)))
  server.get('/v1/vms', applyFaults(state, 'vms', async () => ({ vms: state.vms.listVms(state.clock.readNow()) })))
  return server
}

/** Wraps a handler so that each call is subject to the rate limits and the faults in force. */
function applyFaults (state: PlatformState, type: CallType, handler: Handler): Handler {
  return async (request, reply) => {
    if (!state.meter.admitCall(type, state.clock.readNow())) return await reply.code(429).send({ error: 'over the rate' })
    if (state.faults.hang) return reply.hijack()
    if (state.faults.slowMs > 0) await sleep(state.faults.slowMs)
    if (state.faults.outage) return await sendOutage(reply)
    return await handler(request, reply)
  }
}

async function replaceObject (state: PlatformState, request: FastifyRequest, reply: FastifyReply, value: unknown): Promise<unknown> {
  const { kind, name } = objectParamsSchema.parse(request.params)
  const version = versionSchema.parse(request.headers['if-match']?.replaceAll('"', ''))
  const result = state.store.replaceObject(kind, name, version, value)
  if (result === versionConflict) return await reply.code(409).send({ error: 'the version has moved on' })
  if (state.decideResponseLoss()) {
    reply.hijack()
    request.raw.socket.destroy()
    return reply
  }
  return value === null ? { revision: result.revision } : result
}

async function watchChanges (state: PlatformState, request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
  const { kinds, since, waitMs } = watchQuerySchema.parse(request.query)
  const { store } = state
  if (store.listChanges(kinds, since)?.length === 0) await store.waitForChange(kinds, waitMs)
  if (state.faults.outage) return await sendOutage(reply)
  const changes = store.listChanges(kinds, since)
  if (changes === undefined) return await reply.code(410).send({ error: 'the log of changes no longer reaches back' })
  return { revision: store.revision, changes }
}

async function sendOutage (reply: FastifyReply): Promise<FastifyReply> {
  return await reply.code(503).send({ error: 'unavailable' })
}

async function sendError (reply: FastifyReply, error: unknown): Promise<FastifyReply> {
  if (error instanceof z.ZodError) return await reply.code(400).send({ error: z.prettifyError(error) })
  const { statusCode = 500, message = 'failed' } = error as { statusCode?: number, message?: string }
  return await reply.code(statusCode).send({ error: message })
}
