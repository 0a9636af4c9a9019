import { expect } from 'chai'
import type { PromotionResult } from '../backend/promoter.ts'
import type { Outcome } from '../statements/operation.ts'
import type { SimulatedPlatform } from '../testing/simulated-platform.ts'
import { SimulatedFleet, type SimulatedVm } from '../testing/simulated-vm.ts'

const STEP_MS = 20

describe('promotion', () => {
  let fleet: SimulatedFleet

  beforeEach(() => { fleet = new SimulatedFleet(['p', 'a', 'b']) })
  afterEach(() => fleet.time.stop())

  /** Starts VMs of which only the last reaches `p`; its clients commit there, and it replaces the primary on its own. Every replica has their first commit. */
  async function startVms (...names: string[]): Promise<SimulatedVm[]> {
    const vms = names.map(name => fleet.startVm(name))
    for (const vm of vms) vm.addEndpoints()
    vms.at(-1)!.commit()
    await fleet.advance(200)
    for (const vm of vms.slice(0, -1)) vm.connector.unreachable.add('p')
    vms.at(-1)!.startWatch()
    return vms
  }

  async function commitFor (ms: number, vm: SimulatedVm): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      vm.commit()
      if (elapsedMs % 100 === 0) fleet.exchangeReports()
      await fleet.advance(STEP_MS)
    }
  }

  async function waitForOrder (vm: SimulatedVm, client: SimulatedVm): Promise<void> {
    for (let i = 0; i < 200 && vm.orders.length === 0; i++) await commitFor(STEP_MS, client)
    expect(vm.orders).to.have.length(1)
  }

  /** Has a VM attempt promotions until one succeeds, while clients of another commit. */
  async function promoteUntilDone (ms: number, vm: SimulatedVm, client: SimulatedVm): Promise<string | null> {
    let promoted: string | null = null
    let isAttempting = false
    for (let elapsedMs = 0; elapsedMs < ms && promoted === null; elapsedMs += 100) {
      if (!isAttempting) {
        isAttempting = true
        vm.promote('primary lost').then(p => { promoted = p }, () => {}).finally(() => { isAttempting = false }) // The claim of another VM is no fault.
      }
      await commitFor(100, client)
    }
    return promoted
  }

  it('loses no commit if a revocation lapses while the order is open and a replica was not fenced', async () => {
    const [vm1, , vm3] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm, SimulatedVm]
    vm1.connector.unreachable.add('b')
    vm3.connector.unreachable.add('a')
    vm1.promotionDelayMs = 8_000
    vm1.promote('primary lost').catch(() => {}) // Its VM stops.
    await waitForOrder(vm1, vm3)
    await commitFor(100, vm3)
    vm1.kill()
    await commitFor(10_000, vm3)
    expect(fleet.group.find('a').term).to.be.greaterThan(1)
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('loses no commit if the entry of an ordered endpoint lapses while it runs', async () => {
    const [vm1, vm2, vm3] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm, SimulatedVm]
    vm1.promotionDelayMs = 14_000
    vm1.promote('primary lost').catch(() => {}) // Its VM stops.
    await waitForOrder(vm1, vm3)
    await commitFor(100, vm3)
    vm1.kill()
    for (const vm of [vm2, vm3]) vm.group.removeEntry('a')
    Object.assign(fleet.group.find('a'), { isDeaf: true, isRegistered: false })
    await promoteUntilDone(12_000, vm2, vm3)
    await commitFor(16_000, vm3)
    expect(fleet.group.lost).to.deep.equal([])
  })

  // Guards against a refused connection that is taken for the end of an ordered endpoint, which its order promotes afterwards (LOST).
  it('loses no commit if an ordered endpoint without an entry refuses connections while it runs', async () => {
    const [vm1, vm2, vm3] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm, SimulatedVm]
    vm1.promotionDelayMs = 20_000
    vm1.promote('primary lost').catch(() => {}) // Its VM stops.
    await waitForOrder(vm1, vm3)
    await commitFor(100, vm3)
    vm1.leave()
    for (const vm of [vm2, vm3]) {
      vm.group.removeEntry('a')
      vm.connector.refused.add('a')
    }
    Object.assign(fleet.group.find('a'), { isDeaf: true, isRegistered: false })
    await promoteUntilDone(12_000, vm2, vm3)
    await commitFor(16_000, vm3)
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('loses no commit if the outcome of an earlier attempt arrives after the revocation of a later one', async () => {
    const [, vm2, vm3] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm, SimulatedVm]
    vm2.connector.unreachable.add('b')
    vm3.connector.unreachable.add('a')
    vm2.promotionDelayMs = 1_500
    const promoted = vm2.promote('primary lost')
    await waitForOrder(vm2, vm3)
    await commitFor(100, vm3)
    vm3.receive('vm1', { type: 'promoted', service: 's', term: 2 })
    await commitFor(4_000, vm3)
    expect(await promoted).to.equal('a')
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('loses no commit if the entry of an ordered endpoint stays while its VM stops', async () => {
    const [vm1, vm2, vm3] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm, SimulatedVm]
    vm1.promotionDelayMs = 14_000
    vm1.promote('primary lost').catch(() => {}) // Its VM stops.
    await waitForOrder(vm1, vm3)
    await commitFor(100, vm3)
    vm1.kill()
    fleet.group.find('a').isDeaf = true
    await promoteUntilDone(12_000, vm2, vm3)
    await commitFor(16_000, vm3)
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('loses no commit if a replica was not fenced and no outcome of an earlier attempt arrives', async () => {
    const [, vm2, vm3] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm, SimulatedVm]
    vm2.connector.unreachable.add('b')
    vm3.connector.unreachable.add('a')
    vm2.promotionDelayMs = 1_500
    const promoted = vm2.promote('primary lost')
    await waitForOrder(vm2, vm3)
    await commitFor(4_100, vm3)
    expect(await promoted).to.equal('a')
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('is not ordered again by the next attempt while an accepted order is out', async () => {
    const [vm1, vm2] = await startVms('vm1', 'vm2') as [SimulatedVm, SimulatedVm]
    vm1.promotionDelayMs = 14_000
    vm1.promote('primary lost').catch(() => {}) // Its order is still open when it ends.
    await waitForOrder(vm1, vm2)
    await commitFor(8_000, vm2)
    expect(await promoteUntilDone(12_000, vm1, vm2)).to.equal('a')
    const orderCount = vm1.orders.length
    // The new primary is replaced; it is a replica that receives nothing.
    vm1.promotionDelayMs = 400
    vm1.connector.unreachable.delete('p')
    vm1.connector.unreachable.add('a')
    vm1.unreachableVms.clear()
    await fleet.advance(3_000)
    const replaced = await promoteUntilDone(10_000, vm1, vm2)
    fleet.group.find('a').isDeaf = true
    await commitFor(16_000, vm2)
    expect({ orderCount, isReplaced: replaced !== null, lost: fleet.group.lost }).to.deep.equal({ orderCount: 1, isReplaced: true, lost: [] })
  })

  it('loses no commit if replicas execute the commands to resume of an earlier attempt after they were paused by a later one', async function () {
    this.timeout(240_000)
    const lost: Record<number, string[]> = {}
    let orderCount = 0
    for (let resumeDelayMs = 2_000; resumeDelayMs < 3_500; resumeDelayMs += 50) {
      fleet.time.stop()
      fleet = new SimulatedFleet(['p', 'a', 'b'])
      await promoteAfterLateResumption(resumeDelayMs)
      if (fleet.vms.get('vm2')!.orders.length > 0) orderCount++
      if (fleet.group.lost.length > 0) lost[resumeDelayMs] = fleet.group.lost
    }
    expect(orderCount).to.equal(30)
    expect(lost).to.deep.equal({})
  })

  async function promoteAfterLateResumption (resumeDelayMs: number): Promise<void> {
    const [vm1, vm2, vm3] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm, SimulatedVm]
    vm1.connector.unreachable.clear()
    vm2.unreachableVms.add('vm3')
    vm2.promotionDelayMs = 1_500
    // Connections and status requests to three endpoints come first.
    let commandCount = 0
    vm1.connector.drawDelays = () => [++commandCount > 6 ? resumeDelayMs : 2, 0]
    const resumed = vm1.promote('replicas left paused')
    await commitFor(1_000, vm3)
    expect(await resumed).to.equal(null)
    // Attempts follow each other as the failover watch makes them, since one that can't be safe yet sends no order.
    let isAttempting = false
    for (let i = 0; i < 600 && vm2.orders.length === 0; i++) {
      if (!isAttempting) {
        isAttempting = true
        vm2.promote('primary lost').catch(() => {}).finally(() => { isAttempting = false })
      }
      await commitFor(STEP_MS, vm3)
    }
    fleet.group.find('a').isDeaf = vm2.orders.length > 0
    await commitFor(3_000, vm3)
  }

  // Guards against replicas that stay paused, so that no write is acknowledged, while an unanswered command to resume is waited for.
  it('is not waited for by replicas that are still paused after an unanswered command to resume', async () => {
    const [vm1, vm2] = await startVms('vm1', 'vm2') as [SimulatedVm, SimulatedVm]
    vm1.connector.unreachable.clear()
    const replicas = ['a', 'b'].map(e => fleet.group.find(e))
    for (const replica of replicas) replica.pause(2)
    let commandCount = 0
    vm1.connector.drawDelays = () => [++commandCount > 6 ? 10_000 : 2, 0]
    const resumed = vm1.promote('replicas left paused')
    await commitFor(1_000, vm2)
    expect(await resumed).to.equal(null)
    expect(replicas.map(r => r.isPaused)).to.deep.equal([true, true])
    vm2.promote('replicas left paused').catch(() => {}) // Its outcome does not matter here.
    await commitFor(300, vm2)
    expect(replicas.map(r => r.isPaused)).to.deep.equal([false, false])
  })

  it('loses no commit of a VM that knows no replica yet if a replica restarts before it takes effect', async () => {
    const [vm1, vm2] = await startVms('vm1', 'vm2') as [SimulatedVm, SimulatedVm]
    const vm3 = fleet.startVm('vm3')
    vm3.addEndpoints('p')
    for (const vm of [vm1, vm2]) vm.unreachableVms.add('vm3')
    vm1.promotionDelayMs = 1_000
    const promoted = vm1.promote('primary lost')
    await waitForOrder(vm1, vm3)
    fleet.group.find('b').startAgain()
    for (const vm of fleet.vms.values()) if (vm !== vm3) vm.addEndpoints('b')
    await commitFor(4_000, vm3)
    expect(await promoted).to.equal('a')
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('loses no commit if a second call is refused while the first one, which was not answered, may still take effect', async () => {
    const [vm1, vm2] = await startVms('vm1', 'vm2') as [SimulatedVm, SimulatedVm]
    let callCount = 0
    const receive = async ({ endpoint }: { endpoint: string }): Promise<PromotionResult> => {
      if (++callCount > 1) return 'refused'
      const orderedAtMs = Date.now()
      fleet.time.runAs(undefined, () => setTimeout(() => fleet.group.promote(endpoint, orderedAtMs), 8_000))
      return await new Promise(() => {})
    }
    fleet.platform = { receive } as unknown as SimulatedPlatform
    vm1.promote('primary lost').catch(() => {}) // The test does not depend on the outcome.
    await waitForOrder(vm1, vm2)
    await commitFor(5_000, vm2)
    fleet.group.find('a').isDeaf = true
    await commitFor(6_000, vm2)
    expect(callCount).to.equal(2)
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('loses no commit if the store returns from a copy that has the order, and another replica has more of the log', async () => {
    const [vm1, vm2, vm3] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm, SimulatedVm]
    vm1.connector.unreachable.add('b')
    vm1.promotionDelayMs = 14_000
    vm1.promote('primary lost').catch(() => {}) // Its VM stops.
    await waitForOrder(vm1, vm3)
    vm1.kill()
    // The old primary has entries that were not passed on to clients.
    const p = fleet.group.find('p')
    for (let i = 0; i < 5; i++) p.log.push({ term: 1, index: p.received.index + 1 })
    await fleet.advance(100)
    fleet.store.restore(fleet.store.createCopy())
    for (const vm of [vm2, vm3]) vm.readStore()
    await promoteUntilDone(12_000, vm2, vm3)
    fleet.group.find('a').isDeaf = true
    await commitFor(16_000, vm3)
    expect(fleet.group.lost).to.deep.equal([])
  })

  it('that promoted nothing lets writes go on with replicas that report the term of their pause after they were resumed', async () => {
    const [vm1, vm2] = [fleet.startVm('vm1'), fleet.startVm('vm2')]
    for (const vm of [vm1, vm2]) vm.addEndpoints()
    await commitFor(500, vm2)
    for (const endpoint of ['a', 'b'].map(e => fleet.group.find(e))) {
      endpoint.keepsTermOfPause = true
      endpoint.pause(2)
      endpoint.resume()
    }
    for (const vm of [vm1, vm2]) vm.group.revokeLeadership('p', 2, false)
    for (const vm of [vm1, vm2]) vm.startWatch()
    await commitFor(25_000, vm2)
    const states = ['p', 'a', 'b'].map(e => fleet.group.find(e)).map(({ role, isPaused, term, pausedForTerm }) => ({ role, isPaused, term, pausedForTerm }))
    const before = fleet.group.acknowledged.length
    await commitFor(5_000, vm2)
    expect(fleet.group.acknowledged.length, JSON.stringify(states)).to.be.greaterThan(before)
  })

  it('is not needed for writes of a group whose only replica was removed', async () => {
    fleet.time.stop()
    fleet = new SimulatedFleet(['p', 'a'])
    const vm = fleet.startVm('vm1')
    vm.addEndpoints()
    await commitFor(500, vm)
    fleet.group.endpoints.delete('a')
    vm.group.removeEntry('a')
    await fleet.advance(15_000)
    const outcomes: Array<Outcome | null> = []
    const before = fleet.group.find('p').log.length
    for (let i = 0; i < 50; i++) {
      vm.write().then(o => outcomes.push(o), () => {})
      await fleet.advance(100)
    }
    expect(fleet.group.find('p').log.length, JSON.stringify(outcomes.slice(-2))).to.be.greaterThan(before)
  })
})
