import { createLogger, createSeededRandom } from '@camphorpitch/wire'
import { expect } from 'chai'
import { MemoryStore } from '../testing/memory-store.ts'
import { VirtualClock } from '../testing/virtual-clock.ts'
import { CLAIM_TAKEOVER_MS, CLAIM_VALID_MS, DutyClaims, type Claim } from './duty-claim.ts'

const logger = createLogger({ process: 'test', level: 'silent' })

function createClaims (store: MemoryStore, clock: VirtualClock, vm: string): DutyClaims {
  return new DutyClaims({ store, clock, logger, vm, incarnation: 1 })
}

describe('claims on the failover duty', () => {
  it('are granted to one VM at a time, with growing tokens', async () => {
    const store = new MemoryStore()
    const clock = new VirtualClock()
    const [a, b] = [createClaims(store, clock, 'a'), createClaims(store, clock, 'b')]
    const first = await a.claim('orders')
    expect(first).to.not.equal(null)
    expect(await b.claim('orders')).to.equal(null)
    await a.release(first!)
    const second = await b.claim('orders')
    expect(second!.fencingToken).to.be.greaterThan(first!.fencingToken)
  })

  it('are taken over from a lost VM only after that VM may no longer use them', async () => {
    const store = new MemoryStore()
    const clock = new VirtualClock()
    const [a, b] = [createClaims(store, clock, 'a'), createClaims(store, clock, 'b')]
    const first = (await a.claim('orders'))!
    expect(await b.claim('orders')).to.equal(null)
    clock.nowMs += CLAIM_VALID_MS
    expect(a.isUsable(first)).to.equal(false)
    expect(await b.claim('orders')).to.equal(null)
    clock.nowMs += CLAIM_TAKEOVER_MS - CLAIM_VALID_MS
    expect(await b.claim('orders')).to.not.equal(null)
  })

  it('are not granted while the store is down or if its response is lost', async () => {
    const store = new MemoryStore()
    const a = createClaims(store, new VirtualClock(), 'a')
    store.isDown = true
    expect(await a.claim('orders').then(() => 'claimed', () => 'failed')).to.equal('failed')
    store.isDown = false
    store.losesResponses = true
    expect(await a.claim('orders').then(() => 'claimed', () => 'failed')).to.equal('failed')
    store.losesResponses = false
    expect((await a.claim('orders'))!.fencingToken).to.equal(store.revision)
  })

  it('never allow the use of a lower token after a higher one, in 300 seeded races', async () => {
    for (let seed = 1; seed <= 300; seed++) {
      const random = createSeededRandom(seed)
      const store = new MemoryStore()
      const clock = new VirtualClock()
      const vms = ['a', 'b', 'c'].map(vm => ({ claims: createClaims(store, clock, vm), held: null as Claim | null }))
      let highestToken = 0
      for (let step = 0; step < 120; step++) {
        clock.nowMs += random() * 900
        store.isDown = random() < 0.1
        store.losesResponses = random() < 0.1
        const vm = vms[Math.floor(random() * vms.length)]!
        if (vm.held === null) vm.held = await vm.claims.claim('orders').catch(() => null)
        else if (random() < 0.3) {
          await vm.claims.release(vm.held)
          vm.held = null
        } else if (vm.claims.isUsable(vm.held)) {
          expect(vm.held.fencingToken, `seed ${seed}`).to.be.at.least(highestToken)
          highestToken = vm.held.fencingToken
        } else vm.held = null
      }
    }
  })
})
