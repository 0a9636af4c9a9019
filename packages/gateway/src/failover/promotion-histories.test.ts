import { expect } from 'chai'
import { SimulatedEndpoint } from '../testing/simulated-group.ts'
import type { StoreCopy } from '../testing/memory-store.ts'
import { SimulatedFleet, type SimulatedVm } from '../testing/simulated-vm.ts'
import type { PromotionReason } from './decide-promotion.ts'

/** `PROMOTION_SEEDS=1-500` runs other seeds. */
const [FIRST_SEED = 1, LAST_SEED = 12] = process.env.PROMOTION_SEEDS?.split('-').map(Number) ?? []
const STEP_MS = 50
const STEPS = 600
/** Oldest copy from which the store returns, in steps. */
const MAX_COPY_AGE_STEPS = 100
const REASONS: PromotionReason[] = ['primary lost', 'primary lost', 'primary draining', 'primary cut off from its replicas', 'no primary']

/** One history of random faults: three endpoints, three VMs whose views differ, commits and promotions throughout. */
class History {
  readonly fleet: SimulatedFleet
  promotions = 0
  /** VMs that have an attempt running. */
  readonly #promoting = new Set<SimulatedVm>()
  #joined = 0
  readonly #hasStoreReturns: boolean
  readonly #copies: StoreCopy[] = []

  constructor (seed: number, { hasStoreReturns = false } = {}) {
    this.#hasStoreReturns = hasStoreReturns
    this.fleet = new SimulatedFleet(['p', 'a', 'b'], seed)
    for (const name of ['vm1', 'vm2', 'vm3']) this.fleet.startVm(name).addEndpoints()
  }

  async run (): Promise<void> {
    try {
      for (let step = 0; step < STEPS && this.fleet.group.lost.length === 0; step++) await this.#runStep()
    } finally {
      this.fleet.time.stop()
    }
    this.promotions = [...this.fleet.vms.values()].reduce((sum, vm) => sum + vm.orders.length, 0)
  }

  async #runStep (): Promise<void> {
    for (const vm of this.fleet.vms.values()) {
      if (this.#draw(0.4)) vm.commit()
      if (this.#draw(0.05)) this.#promote(vm)
      if (this.#draw(0.1)) vm.pollOthers()
    }
    this.#changeEndpoints()
    this.#changeVms()
    if (this.#hasStoreReturns) this.#changeStore()
    await this.fleet.advance(STEP_MS)
  }

  #draw (probability: number): boolean {
    return this.fleet.random() < probability
  }

  #pick<T> (values: Iterable<T>): T {
    const list = [...values]
    return list[Math.floor(this.fleet.random() * list.length)]!
  }

  #promote (vm: SimulatedVm): void {
    if (this.#promoting.has(vm)) return
    this.#promoting.add(vm)
    vm.promote(this.#pick(REASONS)).catch(() => {}).finally(() => this.#promoting.delete(vm)) // The claim of another VM or the end of this one is no fault.
  }

  /** Calls `update` on each VM after a time of its own, as the directory's changes reach them. */
  #tellVms (update: (vm: SimulatedVm) => void): void {
    for (const vm of this.fleet.vms.values()) setTimeout(() => update(vm), this.fleet.random() * 300)
  }

  #changeEndpoints (): void {
    const { group } = this.fleet
    for (const e of group.endpoints.values()) {
      if (this.#draw(e.isDeaf ? 0.06 : 0.01)) e.isDeaf = !e.isDeaf
      if (e.isRunning && this.#draw(0.003)) e.isRunning = false
      else if (!e.isRunning && this.#draw(0.03)) {
        e.isRunning = true
        if (group.leader !== e && group.leader !== undefined) e.role = 'replica'
      }
    }
    const replicas = [...group.endpoints.values()].filter(e => e.role === 'replica' && e.isRunning)
    if (replicas.length === 0) return
    if (this.#draw(0.003)) this.#restart(this.#pick(replicas))
    if (this.#draw(0.003)) this.#replace(this.#pick(replicas))
  }

  #restart (endpoint: SimulatedEndpoint): void {
    endpoint.startAgain()
    this.#tellVms(vm => { if (this.fleet.group.endpoints.has(endpoint.endpoint)) vm.addEndpoints(endpoint.endpoint) })
  }

  #replace ({ endpoint }: SimulatedEndpoint): void {
    const { endpoints } = this.fleet.group
    const added = new SimulatedEndpoint(`r${++this.#joined}`)
    added.startAgain()
    endpoints.delete(endpoint)
    endpoints.set(added.endpoint, added)
    this.#tellVms(vm => vm.group.removeEntry(endpoint))
    this.#tellVms(vm => { if (endpoints.has(added.endpoint)) vm.addEndpoints(added.endpoint) })
  }

  /** Has the store return from older copies; the VMs learn of it one after the other. */
  #changeStore (): void {
    const { store, vms } = this.fleet
    this.#copies.push(store.createCopy())
    if (this.#copies.length > MAX_COPY_AGE_STEPS) this.#copies.shift()
    if (this.#draw(0.015)) store.restore(this.#pick(this.#copies))
    if (this.#draw(0.3)) store.replace('endpoints', 'heartbeat', {})
    for (const vm of vms.values()) if (this.#draw(0.15)) vm.readStore()
  }

  #changeVms (): void {
    const { fleet } = this
    const vm = this.#pick(fleet.vms.values())
    if (this.#draw(0.004)) {
      if (this.#draw(0.5)) vm.kill()
      else vm.leave()
      fleet.startVm(vm.name).addEndpoints()
    }
    const endpoint = this.#pick(fleet.group.endpoints.keys())
    if (this.#draw(0.01)) vm.connector.unreachable.add(endpoint)
    else if (this.#draw(0.2)) vm.connector.unreachable.clear()
    if (this.#draw(0.01)) vm.unreachableVms.add(this.#pick(fleet.vms.keys()))
    else if (this.#draw(0.1)) vm.unreachableVms.clear()
  }
}

describe('promotions in random histories of faults', () => {
  let promotions = 0
  for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
    it(`lose no acknowledged commit, seed ${seed}`, async () => {
      const history = new History(seed)
      await history.run()
      promotions += history.promotions
      expect(history.fleet.group.lost).to.deep.equal([])
    })
  }

  it('take place in them', () => expect(promotions).to.be.at.least(LAST_SEED - FIRST_SEED + 1))
})

describe('promotions in random histories of faults in which the store returns from older copies', () => {
  let promotions = 0
  let returns = 0
  for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
    it(`lose no acknowledged commit and send no token twice or after a higher one, seed ${seed}`, async () => {
      const history = new History(seed, { hasStoreReturns: true })
      await history.run()
      promotions += history.promotions
      returns += history.fleet.store.state.epoch
      expect([...history.fleet.group.lost, ...history.fleet.brokenOrders]).to.deep.equal([])
    })
  }

  it('take place in them', () => {
    expect(promotions).to.be.at.least(LAST_SEED - FIRST_SEED + 1)
    expect(returns).to.be.at.least(LAST_SEED - FIRST_SEED + 1)
  })
})
