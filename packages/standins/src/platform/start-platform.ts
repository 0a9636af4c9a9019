import type { AddressInfo } from 'node:net'
import { createSeededRandom, MonotonicClock } from '@camphorpitch/wire'
import type { FastifyInstance } from 'fastify'
import type { z } from 'zod'
import { CallMeter, type CallReport } from './call-meter.ts'
import { createControlServer, setFaults } from './control-routes.ts'
import { createObjectServer } from './object-routes.ts'
import { ObjectStore } from './object-store.ts'
import type { PlatformState } from './platform-state.ts'
import { platformSettingsSchema, type PlatformFaults, type PlatformSettings } from './settings.ts'
import { VmRegistry } from './vm-registry.ts'

export type PlatformOptions = z.input<typeof platformSettingsSchema>

/** A running stand-in of the platform. */
export interface RunningPlatform {
  /** Address of the object service. */
  url: string
  controlUrl: string
  port: number
  controlPort: number
  store: ObjectStore
  /** Merges the given faults into those in force. */
  setFaults: (faults: Partial<PlatformFaults>) => void
  readCounts: () => CallReport
  close: () => Promise<void>
}

/**
 * Starts the object service, the VM list and the control port in this process.
 *
 * @throws ZodError when the options don't match `platformSettingsSchema`
 * @example
 * const platform = await startPlatform({ writesPerSecond: 100 })
 * const client = new ObjectClient({ url: platform.url })
 * platform.setFaults({ outage: true })
 */
export async function startPlatform (options: PlatformOptions = {}): Promise<RunningPlatform> {
  const settings = platformSettingsSchema.parse(options)
  const state = createPlatformState(settings)
  const objects = createObjectServer(state)
  const control = createControlServer(state)
  const port = await listenAt(objects, settings.host, settings.port)
  const controlPort = await listenAt(control, settings.host, settings.controlPort)
  return {
    url: `http://${settings.host}:${port}`,
    controlUrl: `http://${settings.host}:${controlPort}`,
    port,
    controlPort,
    store: state.store,
    setFaults: faults => { setFaults(state, faults) },
    readCounts: () => state.meter.readReport(state.clock.readNow()),
    close: async () => {
      state.store.cancelWaits()
      await Promise.all([objects.close(), control.close()])
    }
  }
}

function createPlatformState (settings: PlatformSettings): PlatformState {
  const random = createSeededRandom(settings.seed)
  const state: PlatformState = {
    clock: new MonotonicClock(),
    store: new ObjectStore(settings.historyLength),
    meter: new CallMeter(settings),
    vms: new VmRegistry(),
    faults: { ...settings.faults },
    decideResponseLoss: () => {
      if (state.faults.loseAnswers === 0) return random() < state.faults.loseAnswerRate
      state.faults.loseAnswers -= 1
      return true
    }
  }
  for (const { kind, name, value } of settings.objects) state.store.replaceObject(kind, name, 0, value)
  for (const vm of settings.vms) state.vms.recordVm(vm.vm, vm, 0)
  return state
}

async function listenAt (server: FastifyInstance, host: string, port: number): Promise<number> {
  await server.listen({ host, port })
  return (server.server.address() as AddressInfo).port
}
