import { expect } from 'chai'
import { SimulatedPlatform } from '../testing/simulated-platform.ts'
import { SimulatedFleet, type SimulatedVm } from '../testing/simulated-vm.ts'
import { CALL_ARRIVAL_MS } from './claim-times.ts'
import { PROMOTION_EFFECT_TIMEOUT_MS } from './order-decisions.ts'

const STEP_MS = 20
/** Longest time for which a call stays unread here. */
const UNREAD_MS = 9_000
const READ_INTERVAL_MS = 10
/** Time after which a VM gives up a call. */
const PROMOTE_TIMEOUT_MS = 700

describe('calls of the platform', () => {
  let fleet: SimulatedFleet
  let calls: number

  beforeEach(() => {
    fleet = new SimulatedFleet(['p', 'a', 'b'])
    calls = 0
  })
  afterEach(() => fleet.time.stop())

  /** Starts VMs of which only the last reaches `p`, in front of a platform that reads nothing for a time, and then the latest call first. */
  async function startVms (...names: string[]): Promise<SimulatedVm[]> {
    const vms = names.map(name => fleet.startVm(name))
    for (const vm of vms) vm.addEndpoints()
    vms.at(-1)!.commit()
    await fleet.advance(100)
    for (const vm of vms.slice(0, -1)) vm.connector.unreachable.add('p')
    const goesOnAtMs = fleet.time.readNow() + UNREAD_MS
    const platform = new SimulatedPlatform(fleet.group, fleet.time)
    platform.drawFate = () => {
      const leftMs = goesOnAtMs - fleet.time.readNow()
      calls++
      return { toPlatformMs: leftMs > 0 ? leftMs + 200 - calls * READ_INTERVAL_MS : 2, effectMs: 400, answerMs: 2 }
    }
    fleet.platform = platform
    return vms
  }

  async function waitForCall (vm: SimulatedVm): Promise<void> {
    for (let i = 0; i < 200 && vm.orders.length === 0; i++) await fleet.advance(STEP_MS)
    expect(vm.orders).to.have.length(1)
  }

  /** Has VMs promote again and again until all calls are read and an endpoint leads. */
  async function promoteFor (ms: number, ...vms: SimulatedVm[]): Promise<void> {
    const running = new Set<SimulatedVm>()
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      for (const vm of vms.filter(v => v.isRunning && !running.has(v) && fleet.group.find('p').role === 'primary')) {
        running.add(vm)
        vm.promote('primary lost').catch(() => {}).finally(() => running.delete(vm)) // The claim of another VM is no fault.
      }
      await fleet.advance(STEP_MS)
    }
    expect(calls).to.be.greaterThan(0)
  }

  it('arrive in the order of their tokens although a VM calls again while its first call is unread', async () => {
    const [vm1] = await startVms('vm1', 'vm2') as [SimulatedVm]
    await promoteFor(UNREAD_MS + 3_000, vm1)
    expect(fleet.brokenOrders).to.deep.equal([])
  })

  it('are not sent once their claim has expired, although the VM stood still while its connection opened', async () => {
    const [vm1, vm2] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm]
    fleet.platform!.drawFate = () => {
      calls++
      return { toPlatformMs: 2, effectMs: 400, answerMs: 2 }
    }
    vm1.connectMs = 30
    vm1.runAsVm(() => { vm1.promote('primary lost').catch(() => {}) }) // Another VM has the claim when it goes on.
    for (let i = 0; i < 400 && vm1.group.state.openOrder === null; i++) await fleet.advance(5)
    expect(vm1.group.state.openOrder).to.not.equal(null)
    vm1.freeze(18_000)
    await promoteFor(24_000, vm2)
    expect(vm1.orders).to.deep.equal([])
    expect(fleet.brokenOrders).to.deep.equal([])
  })

  it('arrive in the order of their tokens although another VM claims the duty while a call is unread', async () => {
    const [vm1, vm2] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm]
    vm1.promote('primary lost').catch(() => {}) // Its attempt ends without an effect.
    await waitForCall(vm1)
    await promoteFor(UNREAD_MS + 5_000, vm2)
    expect(fleet.brokenOrders).to.deep.equal([])
  })

  it('arrive in the order of their tokens although the VM that called ends while its call is unread', async () => {
    const [vm1, vm2] = await startVms('vm1', 'vm2', 'vm3') as [SimulatedVm, SimulatedVm]
    vm1.promote('primary lost').catch(() => {}) // Its VM ends.
    await waitForCall(vm1)
    vm1.kill()
    await promoteFor(UNREAD_MS + 5_000, vm2)
    expect(fleet.brokenOrders).to.deep.equal([])
  })

  it('arrive in the order of their tokens although the VM that called starts again while its call is unread', async () => {
    const [vm1] = await startVms('vm1', 'vm2') as [SimulatedVm]
    vm1.promote('primary lost').catch(() => {}) // Its VM ends.
    await waitForCall(vm1)
    vm1.kill()
    const restarted = fleet.startVm('vm1')
    restarted.addEndpoints()
    restarted.connector.unreachable.add('p')
    await promoteFor(UNREAD_MS + 5_000, restarted)
    expect(fleet.brokenOrders).to.deep.equal([])
  })

  /** Has a VM's call get lost, kills the VM and starts it again after a time, without reaching `p`. @returns the VM that was started */
  async function restartDuringLostCall (vm: SimulatedVm, afterMs: number): Promise<SimulatedVm> {
    fleet.platform!.drawFate = () => {
      calls++
      return { toPlatformMs: 2, effectMs: 400, answerMs: 2 }
    }
    vm.losesOrders = true
    vm.promote('primary lost').catch(() => {}) // Its VM ends.
    await waitForCall(vm)
    vm.kill()
    await fleet.advance(afterMs)
    const restarted = fleet.startVm(vm.name)
    restarted.connector.unreachable.add('p')
    return restarted
  }

  // Guards against a service without a primary for as long as the call of a VM may arrive that was killed and is back.
  it('are repeated with the same token by the VM that has started again, without a wait for the first one', async () => {
    const [vm1] = await startVms('vm1', 'vm2') as [SimulatedVm]
    const restarted = await restartDuringLostCall(vm1, 1_000)
    restarted.addEndpoints()
    await promoteFor(CALL_ARRIVAL_MS / 2, restarted)
    expect(restarted.orders.map(o => o.fencingToken)).to.deep.equal([vm1.orders[0]!.fencingToken])
    expect(['a', 'b'].map(e => fleet.group.find(e).role)).to.include('primary')
    expect(fleet.brokenOrders).to.deep.equal([])
  })

  // Guards against an attempt that ends, and leaves the group fenced for seconds, because it finds the primary that its order replaces.
  it('are repeated in the same attempt although the VM has started again without knowing the primary and finds it only then', async () => {
    const [vm1] = await startVms('vm1', 'vm2') as [SimulatedVm]
    const restarted = await restartDuringLostCall(vm1, 1_000)
    for (const { entry } of fleet.group.endpoints.values()) restarted.group.updateEntry({ ...entry, role: 'replica' })
    const pendingPromotion = restarted.promote('no primary')
    await fleet.advance(600)
    restarted.connector.unreachable.delete('p')
    await fleet.advance(CALL_ARRIVAL_MS)
    expect(await pendingPromotion).to.be.oneOf(['a', 'b'])
    expect(fleet.brokenOrders).to.deep.equal([])
  })

  // Guards against a second wait for the effect of a call that was made long before the VM started again.
  it('are repeated at once by the VM that has started again after the time in which they take effect', async () => {
    const [vm1] = await startVms('vm1', 'vm2') as [SimulatedVm]
    const restarted = await restartDuringLostCall(vm1, PROMOTION_EFFECT_TIMEOUT_MS)
    restarted.addEndpoints()
    restarted.promote('primary lost').catch(() => {}) // Only its call counts here.
    await fleet.advance(PROMOTION_EFFECT_TIMEOUT_MS)
    expect(restarted.orders).to.have.length(1)
    expect(fleet.brokenOrders).to.deep.equal([])
  })

  // Guards against a second wait for the effect of a call that was not made, because its endpoint did not respond for a moment.
  it('are made soon after their endpoint has not responded for a moment when they were due', async () => {
    const [vm1] = await startVms('vm1', 'vm2') as [SimulatedVm]
    fleet.platform!.drawFate = () => ({ toPlatformMs: 2, effectMs: 400, answerMs: 2 })
    vm1.losesOrders = true
    vm1.promote('primary lost').catch(() => {}) // Only its calls count here.
    await waitForCall(vm1)
    vm1.losesOrders = false
    await fleet.advance(PROMOTION_EFFECT_TIMEOUT_MS)
    const { endpoint } = vm1.orders[0]!
    vm1.connector.unreachable.add(endpoint)
    await fleet.advance(PROMOTE_TIMEOUT_MS + 1_000)
    expect(vm1.orders).to.have.length(1)
    vm1.connector.unreachable.delete(endpoint)
    await fleet.advance(PROMOTION_EFFECT_TIMEOUT_MS / 2)
    expect(vm1.orders).to.have.length(2)
    expect(fleet.group.find(endpoint).role).to.equal('primary')
    expect(fleet.brokenOrders).to.deep.equal([])
  })
})
