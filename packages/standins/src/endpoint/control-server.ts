import fastify, { type FastifyInstance } from 'fastify'
import type { AddressInfo } from 'node:net'
import type { FaultInjector } from './fault-injector.ts'
import type { GroupMember } from './group-member.ts'
import type { InstanceRecord } from './instance-record.ts'
import { faultsSchema } from './settings.ts'

export interface ControlServerOptions {
  port: number
  injector: FaultInjector
  member: GroupMember
  record: InstanceRecord
  kill: () => void
}

/**
 * Starts the HTTP control server of an instance on loopback: it switches faults, kills the instance, and shows its
 * status and its record.
 */
export async function startControlServer (options: ControlServerOptions): Promise<{ port: number, stop: () => Promise<void> }> {
  const { injector, member, record } = options
  const app = fastify({ forceCloseConnections: true })
  addFaultRoutes(app, options)
  app.get('/state', () => ({ status: member.readStatus(), faults: injector.faults }))
  app.get('/record', () => ({
    statements: record.statements,
    refusedConnections: record.refusedConnections,
    connections: record.countConnections(),
    maxConnections: record.maxConnections
  }))
  app.get<{ Querystring: { contains?: string } }>('/record/bytes', async (request, reply) => {
    const { contains } = request.query
    if (contains === undefined || contains === '') return await reply.code(400).send({ error: 'contains: expected a text' })
    return record.countConnectionsThatReceived(contains)
  })
  await app.listen({ host: '127.0.0.1', port: options.port })
  return { port: (app.server.address() as AddressInfo).port, stop: async () => { await app.close() } }
}

function addFaultRoutes (app: FastifyInstance, { injector, kill }: ControlServerOptions): void {
  app.post('/faults', async (request, reply) => {
    const change = faultsSchema.safeParse(request.body)
    if (!change.success) return await reply.code(400).send({ error: change.error.message })
    injector.update(change.data)
    return injector.faults
  })
  app.post('/kill', async (_request, reply) => {
    await reply.send({ killed: true })
    kill()
  })
}
