import { nameSchema, vmSchema } from '@camphorpitch/wire'
import fastify, { type FastifyInstance } from 'fastify'
import { z } from 'zod'
import type { PlatformState } from './platform-state.ts'
import { platformFaultsSchema, type PlatformFaults } from './settings.ts'

const vmParamsSchema = z.object({ vm: nameSchema })

/**
 * Builds the control server of the stand-in.
 *
 * - `POST /faults` merges the given faults into those in force and returns all faults
 * - `GET /counts` returns a `CallReport` and the number of waiting watches
 * - `PUT /vms/:vm` with a `Vm` and `DELETE /vms/:vm` change the VM list; the change shows after `vmLagMs`
 */
export function createControlServer (state: PlatformState): FastifyInstance {
  const server = fastify({ forceCloseConnections: true })
  server.setErrorHandler(async (error, _request, reply) => {
    const code = error instanceof z.ZodError ? 400 : 500
    return await reply.code(code).send({ error: error instanceof z.ZodError ? z.prettifyError(error) : String(error) })
  })
  server.post('/faults', async request => setFaults(state, request.body))
  server.get('/counts', async () => ({ ...state.meter.readReport(state.clock.readNow()), waitingWatches: state.store.waiterCount }))
  server.put('/vms/:vm', async request => {
    const { vm: name } = vmParamsSchema.parse(request.params)
    const vm = vmSchema.parse({ ...request.body as object, vm: name })
    state.vms.recordVm(name, vm, state.clock.readNow() + state.faults.vmLagMs)
    return vm
  })
  server.delete('/vms/:vm', async request => {
    const { vm: name } = vmParamsSchema.parse(request.params)
    state.vms.recordVm(name, null, state.clock.readNow() + state.faults.vmLagMs)
    return {}
  })
  return server
}

/**
 * Merges the given faults into those in force and returns all faults; an outage ends waiting watches.
 *
 * @throws ZodError for invalid faults
 */
export function setFaults (state: PlatformState, change: unknown): PlatformFaults {
  const merged = platformFaultsSchema.parse({ ...state.faults, ...change as object })
  Object.assign(state.faults, merged)
  if (merged.outage) state.store.cancelWaits()
  return state.faults
}
