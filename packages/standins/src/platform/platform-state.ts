import type { Clock } from '@camphorpitch/wire'
import type { CallMeter } from './call-meter.ts'
import type { ObjectStore } from './object-store.ts'
import type { PlatformFaults } from './settings.ts'
import type { VmRegistry } from './vm-registry.ts'

/** State that the object server and the control server share. */
export interface PlatformState {
  clock: Clock
  store: ObjectStore
  meter: CallMeter
  vms: VmRegistry
  faults: PlatformFaults
  /** Decides for a write whether its response is lost; counts down `faults.loseAnswers`. */
  decideResponseLoss: () => boolean
}
