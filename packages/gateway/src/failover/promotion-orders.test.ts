import { expect } from 'chai'
import { SimulatedFleet } from '../testing/simulated-vm.ts'

describe('a promotion order', () => {
  let fleet: SimulatedFleet

  beforeEach(() => { fleet = new SimulatedFleet(['p', 'a', 'b']) })
  afterEach(() => fleet.time.stop())

  it('loses no commit if it takes effect after its attempt has given it up', async () => {
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

  it('loses no commit if its VM dies before it takes effect and another VM goes on', async () => {
    const [vm1, vm2] = [fleet.startVm('vm1'), fleet.startVm('vm2')]
    for (const vm of [vm1, vm2]) vm.addEndpoints()
    vm1.connector.unreachable.add('p')
    vm1.promotionDelayMs = 20_000
    vm1.promote('primary lost').catch(() => {}) // It ends with its VM.
    await fleet.advance(2_500)
    expect(vm1.orders.map(o => o.endpoint)).to.deep.equal(['a'])
    vm1.kill()
    fleet.group.find('b').startAgain()
    const attempts: Array<string | null> = []
    for (let elapsedMs = 0; elapsedMs < 19_000; elapsedMs += 100) {
      vm2.commit()
      if (elapsedMs % 6_000 === 5_900) vm2.promote('primary lost').then(p => attempts.push(p), () => {}) // The claim may still be held.
      await fleet.advance(100)
    }
    expect(fleet.group.lost).to.deep.equal([])
    expect(new Set(vm2.orders.map(o => o.endpoint))).to.deep.equal(new Set(['a']))
    expect(attempts).to.include('a')
  })
})
