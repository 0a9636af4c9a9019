import { expect } from 'chai'
import { SimulatedFleet, type SimulatedVm } from '../testing/simulated-vm.ts'
import { CLAIM_TAKEOVER_MS } from './claim-times.ts'

const STEP_MS = 20

describe('promotion order, when the store returns from an older copy', () => {
  let fleet: SimulatedFleet
  beforeEach(() => { fleet = new SimulatedFleet(['p', 'a', 'b']) })
  afterEach(() => fleet.time.stop())

  function startVms (...names: string[]): SimulatedVm[] {
    const vms = names.map(name => fleet.startVm(name))
    for (const vm of vms) {
      vm.addEndpoints()
      vm.readStore()
    }
    return vms
  }

  async function commitFor (ms: number, vm: SimulatedVm): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      vm.commit()
      await fleet.advance(STEP_MS)
    }
  }

  it('that was refused and cleared is not sent again, so that the commits since then are not lost', async () => {
    const [vm1, vm2] = startVms('vm1', 'vm2') as [SimulatedVm, SimulatedVm]
    await commitFor(100, vm2)
    fleet.exchangeReports()
    const { startedAtMs, received } = fleet.group.find('a')
    const claim = { holder: null, incarnation: 1, epoch: 0 }
    fleet.store.replace('duties', 'failover-s', { ...claim, order: { endpoint: 'a', startedAtMs, replacedTerm: 1, received } })
    const copy = fleet.store.createCopy()
    fleet.store.replace('duties', 'failover-s', { ...claim, order: null })
    fleet.group.find('a').isDeaf = true
    await commitFor(500, vm2)
    vm2.kill()
    fleet.group.find('p').isRunning = false
    fleet.store.restore(copy)
    vm1.readStore()
    await fleet.advance(CLAIM_TAKEOVER_MS + 100)
    const promoted = vm1.promote('primary lost')
    await fleet.advance(10_000)
    expect(fleet.group.lost).to.deep.equal([])
    expect(await promoted).to.equal('b')
  })

  it('is waited for by its VM, which writes its claim again, and the replicas are resumed', async () => {
    const [vm1, vm2] = startVms('vm1', 'vm2') as [SimulatedVm, SimulatedVm]
    await commitFor(100, vm2)
    const copy = fleet.store.createCopy()
    fleet.group.find('p').isRunning = false
    const promoted = vm1.promote('primary lost')
    for (let i = 0; i < 200 && vm1.orders.length === 0; i++) await fleet.advance(STEP_MS)
    expect(vm1.orders.map(o => o.endpoint)).to.deep.equal(['a'])
    fleet.store.restore(copy)
    for (const vm of [vm1, vm2]) vm.readStore()
    await fleet.advance(10_000)
    expect(await promoted).to.equal('a')
    expect(fleet.group.find('b').isPaused).to.equal(false)
  })

  it('that the store has lost together with its VM does not take effect beside another one', async () => {
    const [vm1, vm2, vm3] = startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm, SimulatedVm]
    await commitFor(100, vm3)
    const copy = fleet.store.createCopy()
    vm1.connector.unreachable.add('p')
    vm2.connector.unreachable.add('p')
    vm1.promotionDelayMs = 14_000
    vm1.promote('primary lost').catch(() => {}) // It ends with its VM.
    for (let i = 0; i < 200 && vm1.orders.length === 0; i++) await commitFor(STEP_MS, vm3)
    expect(vm1.orders.map(o => o.endpoint)).to.deep.equal(['a'])
    await commitFor(100, vm3)
    vm1.kill()
    Object.assign(fleet.group.find('a'), { isDraining: true, isDeaf: true })
    for (const vm of [vm2, vm3]) vm.addEndpoints('a')
    fleet.store.restore(copy)
    for (const vm of [vm2, vm3]) vm.readStore()
    let isAttempting = false
    for (let elapsedMs = 0; elapsedMs < 18_000; elapsedMs += 100) {
      if (!isAttempting && vm2.group.state.primary?.endpoint === 'p') {
        isAttempting = true
        vm2.promote('primary lost').catch(() => {}).finally(() => { isAttempting = false }) // The claim of another VM is no fault.
      }
      fleet.exchangeReports()
      await commitFor(100, vm3)
    }
    expect(fleet.group.lost).to.deep.equal([])
    expect(fleet.brokenOrders).to.deep.equal([])
    expect(fleet.group.leader?.endpoint).to.not.equal('p')
  })
})

describe('promotion order after another attempt has fenced the group', () => {
  let fleet: SimulatedFleet
  beforeEach(() => { fleet = new SimulatedFleet(['p', 'a', 'b']) })
  afterEach(() => fleet.time.stop())

  /** One VM pauses the replicas and dies; then another one, whose fence is at a later term, promotes. */
  async function promoteAfterLostAttempt (): Promise<{ vm: SimulatedVm, promoted: string | null }> {
    const [vm1, vm2] = ['vm1', 'vm2'].map(name => fleet.startVm(name)) as [SimulatedVm, SimulatedVm]
    for (const vm of [vm1, vm2]) vm.addEndpoints()
    vm1.commit()
    await fleet.advance(100)
    fleet.group.find('p').isRunning = false
    vm1.unreachableVms.add('vm2')
    vm1.promote('primary lost').catch(() => {}) // It ends with its VM.
    for (let i = 0; i < 200 && fleet.group.find('b').pausedForTerm === 0; i++) await fleet.advance(10)
    expect(vm1.orders).to.deep.equal([])
    vm1.kill()
    await vm2.promote('primary lost').catch(() => null)
    await fleet.advance(CLAIM_TAKEOVER_MS)
    const promoted = vm2.promote('primary lost')
    await fleet.advance(15_000)
    expect(fleet.group.leader?.endpoint).to.equal('a')
    return { vm: vm2, promoted: await promoted }
  }

  it('is recognised when it takes effect, though the platform counts only promotions as terms', async () => {
    const { promoted } = await promoteAfterLostAttempt()
    expect(promoted).to.equal('a')
  })

  it('does not keep its endpoint from being replaced later', async () => {
    const { vm } = await promoteAfterLostAttempt()
    Object.assign(fleet.group.find('p'), { isRunning: true, role: 'replica' })
    vm.addEndpoints('p')
    for (let i = 0; i < 100; i++) {
      vm.commit()
      await fleet.advance(100)
    }
    expect(fleet.group.find('p').term).to.equal(2)
    fleet.group.find('a').isRunning = false
    for (let i = 0; i < 3; i++) {
      vm.promote('primary lost').catch(() => {}) // An attempt may fail.
      await fleet.advance(15_000)
    }
    expect(fleet.group.leader?.endpoint).to.be.oneOf(['b', 'p'])
  })
})
