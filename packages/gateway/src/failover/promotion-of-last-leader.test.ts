import { expect } from 'chai'
import { SimulatedFleet, type SimulatedVm } from '../testing/simulated-vm.ts'

const STEP_MS = 20

describe('promotion', () => {
  let fleet: SimulatedFleet

  beforeEach(() => { fleet = new SimulatedFleet(['p', 'a', 'b']) })
  afterEach(() => fleet.time.stop())

  function startVms (...names: string[]): SimulatedVm[] {
    const vms = names.map(name => fleet.startVm(name))
    for (const vm of vms) vm.addEndpoints()
    return vms
  }

  async function commitFor (ms: number, client: SimulatedVm, { hasReports = true } = {}): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      client.commit()
      if (hasReports && elapsedMs % 100 === 0) fleet.exchangeReports()
      await fleet.advance(STEP_MS)
    }
  }

  it('loses no commit of a primary that leads again, at a later term than its VM knows', async () => {
    const [vm1, vm2] = startVms('vm1', 'vm2') as [SimulatedVm, SimulatedVm]
    vm1.findPrimary()
    await commitFor(300, vm2)
    expect(vm1.group.state.primary).to.deep.equal({ endpoint: 'p', term: 1 })
    vm1.connector.unreachable.add('p')
    vm1.unreachableVms.add('vm2')
    const replicas = ['a', 'b'].map(e => fleet.group.find(e))
    for (const replica of replicas) replica.isDeaf = true
    fleet.group.find('p').demote(2)
    fleet.group.promote('p')
    vm2.findPrimary()
    await commitFor(300, vm2)
    expect(vm2.group.state.primary).to.deep.equal({ endpoint: 'p', term: 2 })
    vm1.unreachableVms.clear()
    const promoted = vm1.promote('primary lost')
    await commitFor(100, vm2, { hasReports: false })
    fleet.group.find('b').isDeaf = false
    await commitFor(3_000, vm2, { hasReports: false })
    expect(fleet.group.lost).to.deep.equal([])
    expect(await promoted).to.equal(null)
  })

  it('orders the endpoint of an open order again that is still taken for the primary, but has stepped down', async () => {
    const [vm] = startVms('vm1') as [SimulatedVm]
    await commitFor(300, vm)
    fleet.group.find('a').isDeaf = true
    fleet.group.find('b').isRunning = false
    vm.losesOrders = true
    const failed = vm.promote('primary cut off from its replicas')
    await commitFor(12_000, vm)
    expect(await failed).to.equal(null)
    fleet.group.find('b').isRunning = true
    vm.losesOrders = false
    const promoted = vm.promote('primary cut off from its replicas')
    await commitFor(8_000, vm)
    expect(await promoted).to.equal('p')
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('leaves a primary that acknowledges commits if the ordered endpoint loses its log after the old primary has stepped down', async () => {
    const [vm1, vm2] = startVms('vm1', 'vm2') as [SimulatedVm, SimulatedVm]
    await commitFor(300, vm2)
    fleet.group.find('b').isDeaf = true
    await commitFor(300, vm2)
    vm1.promotionDelayMs = 1_000
    vm1.promote('primary cut off from its replicas').catch(() => {}) // Its order takes no effect.
    for (let i = 0; i < 100 && vm1.orders.length === 0; i++) await fleet.advance(STEP_MS)
    expect(vm1.orders.map(o => o.endpoint)).to.deep.equal(['a'])
    fleet.group.find('a').startAgain()
    for (const vm of [vm1, vm2]) vm.addEndpoints('a')
    await fleet.advance(500)
    vm2.kill()
    const [vm3] = startVms('vm2') as [SimulatedVm]
    for (const vm of [vm1, vm3]) vm.startWatch()
    await commitFor(25_000, vm3)
    const before = fleet.group.acknowledged.length
    await commitFor(5_000, vm3)
    expect(fleet.group.acknowledged.length).to.be.greaterThan(before)
    expect(fleet.group.lost).to.deep.equal([])
  })
})
