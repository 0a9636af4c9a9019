import { createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import { ConfigurationHolder } from '../configuration/configuration-holder.ts'
import { createMemberState } from '../fleet/members.ts'
import { gatewaySettingsSchema } from '../settings.ts'
import { MemoryStore, MemoryStoreState } from '../testing/memory-store.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { CountingVms } from './counting-vms.ts'
import { QuotaCounter } from './quota-counter.ts'
import { QuotaRecord } from './quota-record.ts'

const logger = createLogger({ process: 'test', level: 'silent' })
const RATE = 10
const BURST = 100
const WINDOW_MS = 5_000
const ALLOWED_PER_WINDOW = (RATE * WINDOW_MS / 1_000 + BURST) * 1.1 + 20

interface FakeVm { quotas: QuotaCounter, record: QuotaRecord, store: MemoryStore }

/** Starts the limits of a VM that is the only one of its fleet. */
function startVm (state: MemoryStoreState, clock: VirtualClock, isFirstStart: boolean): FakeVm {
  const store = new MemoryStore(state)
  const settings = gatewaySettingsSchema.parse({ vm: 'vm-a', failureDomain: 'north', host: '10.0.0.1', clients: '10.0.0.1:1', readiness: '10.0.0.1:2', internalPorts: [1, 2], isFirstStart, store: '10.0.0.1:3', promoter: '10.0.0.1:4' })
  const configuration = new ConfigurationHolder(logger)
  configuration.apply({ version: 1, routes: [], services: [], workspaces: [{ name: 'hot', keys: [], ratePerSecond: RATE, burst: BURST }], transactionIdleMs: 3_000 }, 'test')
  const members = createMemberState({ vm: 'vm-a', host: '10.0.0.1', port: 1, failureDomain: 'north', region: 'r', incarnation: 1 })
  members.hasMemberList = true
  const quotas = new QuotaCounter({ settings, clock, configuration, members, counting: new CountingVms(members) })
  const record = new QuotaRecord({ store, clock, logger, members, quotas })
  quotas.update()
  record.start()
  return { quotas, record, store }
}

async function waitForCalls (): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, 5))
}

/** Requests operations without pause for a time, and returns how many were admitted. */
async function requestOperations ({ quotas, record }: FakeVm, clock: VirtualClock, durationMs: number): Promise<number> {
  let admitted = 0
  for (const endMs = clock.nowMs + durationMs; clock.nowMs < endMs; clock.nowMs += 10) {
    if (quotas.admit('hot').isAdmitted) admitted++
    if (clock.nowMs % 500 !== 0) continue
    quotas.update()
    record.update()
    await waitForCalls()
  }
  return admitted
}

describe('quota record', () => {
  it('of an older copy of the store lets no restarted VM exceed a limit over the window', async () => {
    const state = new MemoryStoreState()
    const clock = new VirtualClock()
    const first = startVm(state, clock, true)
    clock.nowMs = 20_000
    first.quotas.update()
    first.record.update()
    await waitForCalls()
    const copy = state.createCopy()
    clock.nowMs += 10
    const admittedBefore = await requestOperations(first, clock, WINDOW_MS - 1_000)
    state.restore(copy)
    const restarted = startVm(state, clock, false)
    await waitForCalls()
    restarted.quotas.update()
    const admittedAfter = await requestOperations(restarted, clock, 1_000)
    expect(admittedBefore + admittedAfter).to.be.at.most(ALLOWED_PER_WINDOW)
  })

  it('is written again after the store has returned from an older copy', async () => {
    const state = new MemoryStoreState()
    const clock = new VirtualClock()
    const vm = startVm(state, clock, true)
    const copy = state.createCopy()
    clock.nowMs = 20_000
    await requestOperations(vm, clock, WINDOW_MS)
    expect(state.objects.get('quotas/pressed')?.value).to.deep.include({ pressed: ['hot'] })
    state.restore(copy)
    await vm.store.list('vms')
    await requestOperations(vm, clock, 2_000)
    expect(state.objects.get('quotas/pressed')?.value).to.deep.include({ epoch: 1, pressed: ['hot'] })
  })

  it('is not written more often than before while the store stays in its epoch', async () => {
    const state = new MemoryStoreState()
    const clock = new VirtualClock()
    const vm = startVm(state, clock, true)
    clock.nowMs = 20_000
    await requestOperations(vm, clock, 10_000)
    expect(vm.store.callCount).to.equal(3)
  })
})
