import { expect } from 'chai'
import { SimulatedEndpoint } from '../testing/simulated-group.ts'
import { SimulatedFleet, type SimulatedVm } from '../testing/simulated-vm.ts'

const STEP_MS = 20

describe('promotion order', () => {
  let fleet: SimulatedFleet

  beforeEach(() => { fleet = new SimulatedFleet(['p', 'a', 'b']) })
  afterEach(() => fleet.time.stop())

  /** Starts VMs of which only the last reaches `p`; its clients commit there. Every replica has their first commit. */
  async function startVms (...names: string[]): Promise<SimulatedVm[]> {
    const vms = names.map(name => fleet.startVm(name))
    for (const vm of vms) vm.addEndpoints()
    vms.at(-1)!.commit()
    await fleet.advance(100)
    for (const vm of vms.slice(0, -1)) vm.connector.unreachable.add('p')
    return vms
  }

  /** Lets time pass while clients of a VM commit, each time at the primary that the VM knows. */
  async function commitFor (ms: number, vm: SimulatedVm): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      vm.commit()
      await fleet.advance(STEP_MS)
    }
  }

  async function waitForOrder (vm: SimulatedVm, client: SimulatedVm): Promise<void> {
    for (let i = 0; i < 200 && vm.orders.length === 0; i++) await commitFor(STEP_MS, client)
    expect(vm.orders).to.have.length(1)
  }

  function restart (endpoint: string): void {
    fleet.group.find(endpoint).startAgain()
    for (const vm of fleet.vms.values()) vm.addEndpoints(endpoint)
  }

  function join (endpoint: string): void {
    const added = new SimulatedEndpoint(endpoint)
    added.startAgain()
    fleet.group.endpoints.set(endpoint, added)
    for (const vm of fleet.vms.values()) vm.addEndpoints(endpoint)
  }

  it('loses no commit if it takes effect later than its attempt waits for it', async () => {
    const [vm1, vm2] = await startVms('vm1', 'vm2') as [SimulatedVm, SimulatedVm]
    vm1.promotionDelayMs = 5_000
    const promoted = vm1.promote('primary lost')
    await waitForOrder(vm1, vm2)
    fleet.group.find('a').isDeaf = true
    await commitFor(15_000, vm2)
    expect(fleet.group.lost).to.deep.equal([])
    expect(await promoted).to.equal('a')
  })

  it('loses no commit if its answer is lost and it takes effect later than its attempt waits for it', async () => {
    const [vm1, vm2] = await startVms('vm1', 'vm2') as [SimulatedVm, SimulatedVm]
    vm1.promotionDelayMs = 5_000
    vm1.losesAnswers = true
    const promoted = vm1.promote('primary lost')
    await waitForOrder(vm1, vm2)
    fleet.group.find('a').isDeaf = true
    await commitFor(15_000, vm2)
    expect(fleet.group.lost).to.deep.equal([])
    expect(await promoted).to.equal('a')
  })

  describe('whose VM does not reach the VM that commits at the old primary', () => {
    async function startCutOffVms (): Promise<[SimulatedVm, SimulatedVm]> {
      const [vm1, vm2] = await startVms('vm1', 'vm2') as [SimulatedVm, SimulatedVm]
      vm1.unreachableVms.add('vm2')
      return [vm1, vm2]
    }

    it('loses no commit if a replica restarts before it takes effect', async () => {
      const [vm1, vm2] = await startCutOffVms()
      vm1.promotionDelayMs = 1_000
      const promoted = vm1.promote('primary lost')
      await waitForOrder(vm1, vm2)
      restart('b')
      await commitFor(4_000, vm2)
      expect(fleet.group.lost).to.deep.equal([])
      expect(await promoted).to.equal('a')
    })

    it('loses no commit if a replica joins before it takes effect', async () => {
      const [vm1, vm2] = await startCutOffVms()
      vm1.promotionDelayMs = 1_000
      const promoted = vm1.promote('primary lost')
      await waitForOrder(vm1, vm2)
      join('c')
      await commitFor(4_000, vm2)
      expect(fleet.group.lost).to.deep.equal([])
      expect(await promoted).to.equal('a')
    })

    it('loses no commit if a replica joins after the others are fenced and before it is sent', async () => {
      const [vm1, vm2] = await startCutOffVms()
      const promoted = vm1.promote('primary lost')
      await commitFor(200, vm2)
      join('c')
      await commitFor(600, vm2)
      fleet.group.find('c').isDeaf = true
      await commitFor(10_000, vm2)
      expect(fleet.group.lost).to.deep.equal([])
      await promoted
    })

    it('loses no commit that a fenced replica received after a restart and lost in another one, neither of them registered yet', async () => {
      const [vm1, vm2] = await startCutOffVms()
      const promoted = vm1.promote('primary lost')
      await commitFor(200, vm2)
      fleet.group.find('b').startAgain()
      await commitFor(400, vm2)
      fleet.group.find('b').startAgain()
      Object.assign(fleet.group.find('b'), { isDeaf: true, log: [...fleet.group.find('a').log] })
      await commitFor(10_000, vm2)
      expect(fleet.group.lost).to.deep.equal([])
      await promoted
    })
  })

  describe('that has taken effect', () => {
    it('loses no commit of a VM that does not know of it while the new primary is down and a replica has not followed it yet', async () => {
      const [vm1, vm2] = await startVms('vm1', 'vm2') as [SimulatedVm, SimulatedVm]
      vm1.unreachableVms.add('vm2')
      const [a, b] = [fleet.group.find('a'), fleet.group.find('b')]
      const promoted = vm1.promote('primary lost')
      await waitForOrder(vm1, vm2)
      b.isDeaf = true
      for (let i = 0; i < 100 && a.role === 'replica'; i++) await commitFor(STEP_MS, vm2)
      await commitFor(200, vm2)
      a.isRunning = false
      b.isDeaf = false
      await commitFor(600, vm2)
      a.isRunning = true
      await commitFor(3_000, vm2)
      expect(await promoted).to.equal('a')
      expect(fleet.group.leader).to.equal(a)
      expect(fleet.group.acknowledged.filter(p => !a.hasReceived(p)).map(p => `${p.term}.${p.index}`)).to.deep.equal([])
    })
  })

  /** The first order is for `a`, which then begins to drain, so that another attempt would prefer `b`. */
  async function sendSlowOrder (vm: SimulatedVm, client: SimulatedVm): Promise<void> {
    vm.promotionDelayMs = 7_500
    vm.promote('primary lost').catch(() => {}) // The VM stops or loses its claim.
    await waitForOrder(vm, client)
    Object.assign(fleet.group.find('a'), { isDraining: true, isDeaf: true })
    for (const other of fleet.vms.values()) other.addEndpoints('a')
  }

  /** Has a VM attempt promotions again and again while clients of another commit. */
  async function promoteFor (ms: number, vm: SimulatedVm, client: SimulatedVm): Promise<void> {
    let isAttempting = false
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 100) {
      if (!isAttempting && vm.group.state.primary?.endpoint === 'p') {
        isAttempting = true
        vm.promote('primary lost').catch(() => {}).finally(() => { isAttempting = false }) // The claim of another VM is no fault.
      }
      await commitFor(100, client)
    }
  }

  describe('that takes effect late', () => {
    it('loses no commit after its VM has stopped and another VM promotes', async () => {
      const [vm1, vm2, vm3] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm, SimulatedVm]
      await sendSlowOrder(vm1, vm3)
      await commitFor(100, vm3)
      vm1.kill()
      await promoteFor(15_000, vm2, vm3)
      expect(fleet.group.lost).to.deep.equal([])
      expect(fleet.group.leader?.endpoint).to.not.equal('p')
    })

    it('loses no commit after its VM has lost the claim and another VM promotes', async () => {
      const [vm1, vm2, vm3] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm, SimulatedVm]
      await sendSlowOrder(vm1, vm3)
      await commitFor(100, vm3)
      vm1.isStoreReachable = false
      await promoteFor(15_000, vm2, vm3)
      expect(fleet.group.lost).to.deep.equal([])
      expect(fleet.group.leader?.endpoint).to.not.equal('p')
    })
  })

  it('loses no commit if it takes effect after its attempt has ended', async () => {
    const [vm1, vm2] = [fleet.startVm('vm1'), fleet.startVm('vm2')]
    for (const vm of [vm1, vm2]) vm.addEndpoints()
    vm1.connector.unreachable.add('p')
    vm1.promotionDelayMs = 14_000
    const promoted = vm1.promote('primary lost')
    promoted.catch(() => {}) // The test does not depend on the outcome.
    for (let elapsedMs = 0; elapsedMs < 16_000; elapsedMs += 100) {
      vm2.commit()
      // A replica that is slower than the other when the order takes effect.
      fleet.group.find('a').isDeaf = elapsedMs >= 13_500
      await fleet.advance(100)
    }
    expect(fleet.group.lost).to.deep.equal([])
    expect(fleet.group.find('a').term).to.be.greaterThan(1)
  })

  for (const [title, losesAnswers, promotionDelayMs, orders] of [
    ['is sent again by another VM, for the same endpoint, if its VM dies before it takes effect and it was not answered', true, 24_000, ['a']],
    ['is waited for by another VM, which sends none, if its VM dies before it takes effect and it was accepted', false, 20_000, []]
  ] as const) {
    it(title, async () => {
      const [vm1, vm2] = [fleet.startVm('vm1'), fleet.startVm('vm2')]
      for (const vm of [vm1, vm2]) vm.addEndpoints()
      vm1.connector.unreachable.add('p')
      Object.assign(vm1, { losesAnswers, promotionDelayMs })
      vm1.promote('primary lost').catch(() => {}) // It ends with its VM.
      await fleet.advance(2_500)
      expect(vm1.orders.map(o => o.endpoint)).to.deep.equal(['a'])
      vm1.kill()
      fleet.group.find('b').startAgain()
      const attempts: Array<string | null> = []
      let isAttempting = false
      for (let elapsedMs = 0; elapsedMs < promotionDelayMs - 1_000; elapsedMs += 100) {
        vm2.commit()
        if (elapsedMs % 6_000 === 5_900 && !attempts.includes('a') && !isAttempting) {
          isAttempting = true
          vm2.promote('primary lost').then(p => attempts.push(p), () => {}).finally(() => { isAttempting = false }) // The claim may still be held.
        }
        await fleet.advance(100)
      }
      expect(fleet.group.lost).to.deep.equal([])
      expect(new Set(vm2.orders.map(o => o.endpoint))).to.deep.equal(new Set(orders))
      expect(attempts).to.include('a')
    })
  }

  describe('that was never sent because its VM died', () => {
    it('leaves no replica paused for good while the primary leads', async () => {
      const [vm1, vm2] = [fleet.startVm('vm1'), fleet.startVm('vm2')]
      for (const vm of [vm1, vm2]) vm.addEndpoints()
      vm2.commit()
      await fleet.advance(50)
      vm1.connector.unreachable.add('p')
      vm1.unreachableVms.add('vm2')
      vm1.promote('primary lost').catch(() => {}) // It ends with its VM.
      await fleet.advance(500)
      vm1.kill()
      expect(fleet.group.find('a').isPaused).to.equal(true)
      // The claim of a VM that has stopped may be taken over only after it was seen unchanged for some time.
      await vm2.promote('replicas left paused').catch(() => null)
      await fleet.advance(5_000)
      const attempt = vm2.promote('replicas left paused')
      await fleet.advance(1_000)
      expect(await attempt).to.equal(null)
      expect([...fleet.group.endpoints.values()].filter(e => e.isPaused)).to.deep.equal([])
      expect(fleet.group.find('p').role).to.equal('primary')
    })
  })
})
