import { expect } from 'chai'
import { ConnectionLostError, EndpointRefusedError } from '../backend/errors.ts'
import { SimulatedFleet, type SimulatedVm } from '../testing/simulated-vm.ts'
import { recordGone } from '../groups/departures.ts'
import { isEnded } from './fence-departures.ts'

describe('promotion while a replica without an entry still runs', () => {
  let fleet: SimulatedFleet

  beforeEach(() => { fleet = new SimulatedFleet(['p', 'a', 'b']) })
  afterEach(() => fleet.time.stop())

  /** The entry of `a` lapses on all VMs. Then vm2 commits twice; the last commit is on `p` and `a` only. */
  async function setUpLapse (): Promise<[SimulatedVm, SimulatedVm]> {
    const [vm1, vm2] = [fleet.startVm('vm1'), fleet.startVm('vm2')]
    for (const vm of [vm1, vm2]) vm.addEndpoints()
    fleet.group.find('a').isRegistered = false
    for (const vm of [vm1, vm2]) vm.group.removeEntry('a')
    for (const vm of [vm1, vm2]) vm.commit()
    await fleet.advance(50)
    fleet.group.find('b').isDeaf = true
    vm2.commit()
    await fleet.advance(50)
    return [vm1, vm2]
  }

  async function crashAndPromote (vm: SimulatedVm): Promise<string | null> {
    fleet.group.find('p').isRunning = false
    const promoted = vm.promote('primary lost')
    await fleet.advance(6_000)
    return await promoted
  }

  it('loses no commit that only this replica has, and promotes it once its entry is back', async () => {
    const [vm1, vm2] = await setUpLapse()
    vm2.kill()
    expect(await crashAndPromote(vm1)).to.equal(null)
    expect(fleet.group.find('a').isPaused).to.equal(false)
    fleet.group.find('a').isRegistered = true
    vm1.addEndpoints('a')
    expect(await crashAndPromote(vm1)).to.equal('a')
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('loses no commit that only this replica has, although the promoting VM does not reach it', async () => {
    const [vm1, vm2] = await setUpLapse()
    vm2.kill()
    vm1.connector.unreachable.add('a')
    expect(await crashAndPromote(vm1)).to.equal(null)
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('loses no commit that only this replica has, although its entry is back before the replicas are compared', async () => {
    const [vm1, vm2] = await setUpLapse()
    vm2.kill()
    fleet.group.find('p').isRunning = false
    const promoted = vm1.promote('primary lost')
    await fleet.advance(600)
    fleet.group.find('a').isRegistered = true
    vm1.addEndpoints('a')
    await fleet.advance(6_000)
    await promoted
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('pauses a replica that it knows from another VM only', async () => {
    const [vm1, vm2] = await setUpLapse()
    fleet.group.find('b').isDeaf = false
    await fleet.advance(50)
    fleet.exchangeReports()
    const vm3 = fleet.startVm('vm3')
    vm3.addEndpoints('p', 'b')
    fleet.exchangeReports()
    for (const vm of [vm1, vm2]) vm.kill()
    fleet.group.find('b').isDeaf = true
    vm3.unreachableVms.add('vm1')
    vm3.unreachableVms.add('vm2')
    const promoted = vm3.promote('primary lost')
    await fleet.advance(400)
    expect(fleet.group.find('a').isPaused).to.equal(true)
    await fleet.advance(6_000)
    await promoted
    expect(fleet.group.lost).to.deep.equal([])
  })

  describe('that had announced its shutdown and no longer responds', () => {
    /** The replica `a` shuts down. Then `vm1` commits for some time. */
    async function shutDown (vm: SimulatedVm, commitMs: number): Promise<void> {
      vm.addEndpoints()
      vm.commit()
      await fleet.advance(50)
      fleet.group.find('a').isDraining = true
      vm.addEndpoints('a')
      Object.assign(fleet.group.find('a'), { isRunning: false, isRegistered: false })
      vm.group.removeEntry('a')
      for (let elapsedMs = 0; elapsedMs < commitMs; elapsedMs += 1_000) {
        vm.commit()
        await fleet.advance(1_000)
      }
    }

    it('remains possible with the confirmations of all VMs', async () => {
      const vm = fleet.startVm('vm1')
      fleet.startVm('vm2').addEndpoints()
      await shutDown(vm, 13_000)
      expect(await crashAndPromote(vm)).to.equal('b')
      expect(fleet.group.lost).to.deep.equal([])
    })

    it('remains possible without the confirmation of a VM once the replica must have ended', async () => {
      const vm = fleet.startVm('vm1')
      fleet.startVm('vm2').kill()
      await shutDown(vm, 45_000)
      expect(await crashAndPromote(vm)).to.equal('b')
      expect(fleet.group.lost).to.deep.equal([])
    })
  })

  it('loses no commit of a replica that has just restarted without its log if the VM that knew the commit has restarted too', async () => {
    const [vm1, vm2] = [fleet.startVm('vm1'), fleet.startVm('vm2')]
    for (const vm of [vm1, vm2]) vm.addEndpoints()
    for (const vm of [vm1, vm2]) vm.commit()
    await fleet.advance(50)
    fleet.group.find('b').isDeaf = true
    vm2.commit()
    await fleet.advance(50)
    vm2.kill()
    fleet.startVm('vm2').addEndpoints()
    fleet.group.find('a').startAgain()
    fleet.group.find('p').isRunning = false
    const promoted = vm1.promote('primary lost')
    await fleet.advance(300)
    for (const vm of fleet.vms.values()) vm.addEndpoints('a')
    await fleet.advance(6_000)
    expect(await promoted).to.equal(null)
    expect(fleet.group.lost).to.deep.equal([])
  })

  // Guards against a log end that a replica outgrows, after one VM's refused connection was taken for the replica's end (LOST).
  it('loses no commit of a replica that has refused a connection and goes on receiving', async () => {
    const [vm1, vm2] = await setUpLapse()
    fleet.group.find('b').isDeaf = false
    await fleet.advance(50)
    recordGone(vm1.group.departures, vm1.group.departures[0]!, fleet.time.readNow(), true)
    vm1.commit()
    await fleet.advance(50)
    expect(vm1.group.departures[0]!.logEnd, 'the end of the log is told after the refusal').not.to.equal(null)
    fleet.group.find('b').isDeaf = true
    vm2.commit()
    await fleet.advance(50)
    vm2.kill()
    expect(await crashAndPromote(vm1)).to.equal(null)
    expect(vm1.group.departures[0]).to.deep.include({ isGone: false, logEnd: null })
    fleet.group.find('a').isRegistered = true
    vm1.addEndpoints('a')
    expect(await crashAndPromote(vm1)).to.equal('a')
    expect(fleet.group.lost).to.deep.equal([])
  })

  // Guards against a presumed end beside the confirmation of a VM that has forgotten, in a restart, what this replica had acknowledged (LOST).
  it('loses no commit of a replica that refuses connections if the VM that knew it has started again', async () => {
    const [vm1, vm2] = await setUpLapse()
    fleet.group.find('b').isDeaf = false
    await fleet.advance(50)
    vm1.connector.refused.add('a')
    recordGone(vm1.group.departures, vm1.group.departures[0]!, fleet.time.readNow(), true)
    vm1.commit()
    await fleet.advance(50)
    fleet.group.find('b').isDeaf = true
    vm2.commit()
    await fleet.advance(50)
    vm2.kill()
    fleet.startVm('vm2').addEndpoints('p', 'b')
    expect(await crashAndPromote(vm1)).to.equal(null)
    expect(fleet.group.lost).to.deep.equal([])
  })

  // Guards against a lapsed entry of a draining replica that is taken for its end, while it goes on receiving (LOST).
  it('loses no commit of a draining replica that loses its entry before it ends', async () => {
    const [vm1, vm2] = [fleet.startVm('vm1'), fleet.startVm('vm2')]
    fleet.group.find('a').isDraining = true
    for (const vm of [vm1, vm2]) vm.addEndpoints()
    fleet.group.find('a').isRegistered = false
    for (const vm of [vm1, vm2]) vm.group.removeEntry('a')
    for (const vm of [vm1, vm2]) vm.commit()
    await fleet.advance(50)
    fleet.group.find('b').isDeaf = true
    vm2.commit()
    await fleet.advance(50)
    vm2.kill()
    vm1.connector.unreachable.add('a')
    expect(await crashAndPromote(vm1)).to.equal(null)
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('remains possible if the replica still refuses connections', async () => {
    const [vm1] = await setUpLapse()
    fleet.group.find('b').isDeaf = false
    await fleet.advance(50)
    vm1.connector.refused.add('a')
    recordGone(vm1.group.departures, vm1.group.departures[0]!, fleet.time.readNow(), true)
    fleet.group.find('a').isRunning = false
    vm1.commit()
    await fleet.advance(50)
    expect(await crashAndPromote(vm1)).to.equal('b')
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('takes a replica for gone if nothing listens at its address or another endpoint does', () => {
    expect(isEnded(new ConnectionLostError('ECONNREFUSED', { props: { isRefused: true } }))).to.equal(true)
    expect(isEnded(new EndpointRefusedError('another id', { props: { code: 'misrouted' } }))).to.equal(true)
    expect(isEnded(new EndpointRefusedError('too many connections', { props: { code: 'tooMany' } }))).to.equal(false)
    expect(isEnded(new ConnectionLostError('no answer to the connection attempt'))).to.equal(false)
  })
})
