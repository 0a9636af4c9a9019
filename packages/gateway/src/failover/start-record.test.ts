import { expect } from 'chai'
import { SimulatedFleet, type SimulatedVm } from '../testing/simulated-vm.ts'

const RECORDED_AFTER_MS = 3_000

describe('record of endpoint starts', () => {
  let fleet: SimulatedFleet

  beforeEach(() => { fleet = new SimulatedFleet(['p', 'a', 'b']) })
  afterEach(() => fleet.time.stop())

  /** Has the VMs record all endpoints. Then the entry of `a` lapses, and the last commit is on `p` and `a` only. */
  async function setUpLapse (): Promise<void> {
    const [vm1, vm2] = [fleet.startVm('vm1'), fleet.startVm('vm2')]
    for (const vm of [vm1, vm2]) vm.addEndpoints()
    await fleet.advance(RECORDED_AFTER_MS)
    fleet.group.find('a').isRegistered = false
    for (const vm of [vm1, vm2]) vm.group.removeEntry('a')
    vm1.commit()
    await fleet.advance(50)
    fleet.group.find('b').isDeaf = true
    vm2.commit()
    await fleet.advance(50)
  }

  /** Starts all VMs again at once, without what they knew. */
  function restartVms (endpoints = ['p', 'b']): SimulatedVm {
    for (const vm of fleet.vms.values()) vm.kill()
    for (const name of [...fleet.vms.keys()]) fleet.startVm(name).addEndpoints(...endpoints)
    return fleet.vms.get('vm1')!
  }

  async function promote (vm: SimulatedVm): Promise<string | null> {
    const promoted = vm.promote('primary lost')
    await fleet.advance(8_000)
    return await promoted
  }

  function listRecorded (): string[] {
    const { starts } = fleet.store.state.objects.get('groups/s')!.value as { starts: Array<{ endpoint: string }> }
    return starts.map(s => s.endpoint).sort()
  }

  // Guards against VMs that start while a replica has no entry and promote another one without its commits (LOST).
  it('has VMs that have just started wait for a replica without an entry that they do not reach', async () => {
    await setUpLapse()
    const vm1 = restartVms()
    for (const vm of fleet.vms.values()) vm.connector.unreachable.add('a')
    fleet.group.find('p').isRunning = false
    await fleet.advance(1_000)
    expect(await promote(vm1)).to.equal(null)
    for (const vm of fleet.vms.values()) vm.connector.unreachable.delete('a')
    fleet.group.find('a').isRegistered = true
    for (const vm of fleet.vms.values()) vm.addEndpoints('a')
    expect(await promote(vm1)).to.equal('a')
    expect(fleet.group.lost).to.deep.equal([])
  })

  // Guards against the same loss by a replica that refuses the connections of the VMs that start (LOST).
  it('has VMs that have just started wait for a replica without an entry that refuses their connections', async () => {
    await setUpLapse()
    const vm1 = restartVms()
    for (const vm of fleet.vms.values()) vm.connector.refused.add('a')
    fleet.group.find('p').isRunning = false
    await fleet.advance(1_000)
    expect(await promote(vm1)).to.equal(null)
    expect(fleet.group.lost).to.deep.equal([])
  })

  // Guards against a wait for the lost primary itself, by VMs that start after its entry has lapsed and do not know that it led.
  it('lets VMs that have just started replace a primary whose entry has lapsed', async () => {
    const [vm1, vm2] = [fleet.startVm('vm1'), fleet.startVm('vm2')]
    for (const vm of [vm1, vm2]) vm.addEndpoints()
    await fleet.advance(RECORDED_AFTER_MS)
    vm1.commit()
    await fleet.advance(50)
    Object.assign(fleet.group.find('p'), { isRunning: false, isRegistered: false })
    const started = restartVms(['a', 'b'])
    expect(started.group.state.primary).to.equal(null)
    expect(await promote(started)).to.be.oneOf(['a', 'b'])
    expect(fleet.group.lost).to.deep.equal([])
  })

  // Guards against a record that only grows, so that each promotion after a start of all VMs waits for replicas that have long gone.
  it('forgets a replica that has shut down once another one has what it had received', async () => {
    const [vm1, vm2] = [fleet.startVm('vm1'), fleet.startVm('vm2')]
    for (const vm of [vm1, vm2]) vm.addEndpoints()
    await fleet.advance(RECORDED_AFTER_MS)
    expect(listRecorded()).to.deep.equal(['a', 'b', 'p'])
    fleet.group.find('a').isDraining = true
    for (const vm of [vm1, vm2]) vm.addEndpoints('a')
    Object.assign(fleet.group.find('a'), { isRunning: false, isRegistered: false })
    for (const vm of [vm1, vm2]) vm.group.removeEntry('a')
    for (let commits = 0; commits < 60; commits++) {
      vm1.commit()
      await fleet.advance(1_000)
    }
    expect(listRecorded()).to.deep.equal(['b', 'p'])
  })

  // Guards against a departed replica that is forgotten because one VM does not reach it, although it goes on receiving (LOST).
  it('keeps a replica that refuses connections, until it has done so for longer than regions lose each other', async () => {
    await setUpLapse()
    fleet.group.find('b').isDeaf = false
    for (const vm of fleet.vms.values()) vm.connector.refused.add('a')
    const advanceMinutes = async (minutes: number): Promise<void> => {
      for (let elapsed = 0; elapsed < minutes; elapsed++) {
        fleet.vms.get('vm1')!.commit()
        await fleet.advance(60_000)
      }
    }
    await advanceMinutes(14)
    expect(listRecorded()).to.deep.equal(['a', 'b', 'p'])
    await advanceMinutes(3)
    expect(listRecorded()).to.deep.equal(['b', 'p'])
  })

  it('is written again after the store has returned from an older copy that lacks it', async () => {
    const copy = fleet.store.state.createCopy()
    const vm1 = fleet.startVm('vm1')
    vm1.addEndpoints()
    await fleet.advance(RECORDED_AFTER_MS)
    fleet.store.state.restore(copy)
    vm1.readStore()
    await fleet.advance(RECORDED_AFTER_MS)
    expect(listRecorded()).to.deep.equal(['a', 'b', 'p'])
  })

  // Guards against VMs that all read every record when they start together, which the store refuses in a large fleet.
  it('is read by three VMs at most when many start together', async () => {
    const vms = Array.from({ length: 12 }, (_, i) => fleet.startVm(`vm${i}`))
    const reads: string[] = []
    for (const vm of vms) vm.handleStoreRead = name => reads.push(`${vm.name} ${name}`)
    for (const vm of vms) vm.addEndpoints()
    await fleet.advance(RECORDED_AFTER_MS)
    expect(listRecorded()).to.deep.equal(['a', 'b', 'p'])
    expect(reads.filter(r => r.endsWith('groups/s'))).to.have.length.within(1, 3)
  })

  it('is not read by a VM that has no list of the VMs, until it has one', async () => {
    const vm = fleet.startVm('vm1')
    vm.members.hasMemberList = false
    vm.addEndpoints()
    await fleet.advance(RECORDED_AFTER_MS)
    expect(fleet.store.state.objects.has('groups/s')).to.equal(false)
    vm.members.hasMemberList = true
    await fleet.advance(RECORDED_AFTER_MS)
    expect(listRecorded()).to.deep.equal(['a', 'b', 'p'])
  })

  it('is written again if it can not be read', async () => {
    fleet.store.state.replace('groups', 's', { starts: 'none' })
    fleet.startVm('vm1').addEndpoints()
    await fleet.advance(RECORDED_AFTER_MS)
    expect(listRecorded()).to.deep.equal(['a', 'b', 'p'])
  })
})
