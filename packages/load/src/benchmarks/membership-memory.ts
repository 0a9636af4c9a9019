import { pack } from 'msgpackr'
import { decideMembership } from '../../../proxy/src/membership/decision.ts'
import { SYNC_CHUNK_SIZE, type MemberUpdate } from '../../../proxy/src/membership/messages.ts'
import { createMembershipState, readRing, type MembershipState } from '../../../proxy/src/membership/state.ts'

/**
 * Measures the memory of one VM's membership view and the bytes of a full sync, by fleet size.
 *
 * @example node --expose-gc --import=tsx packages/load/src/benchmarks/membership-memory.ts
 */

const FLEET_SIZES = [9, 200, 860]
/** Views that one measurement creates; many of them make other allocations negligible. */
const VIEW_COUNT = 50

function createUpdate (i: number): MemberUpdate {
  return {
    vm: `vm-${i}`,
    host: `10.${i >> 8}.${i & 255}.1`,
    peerPort: 7_000,
    failureDomain: `domain-${i % 9}`,
    region: `region-${i % 3}`,
    incarnation: 1_700_000_000_000 + i,
    processIncarnation: 1_700_000_000_000 + i,
    isLeaving: false,
    accusers: [],
    isDead: false
  }
}

/** Member updates of a full sync, split into the messages that carry them. */
function createSyncChunks (size: number): MemberUpdate[][] {
  const chunks: MemberUpdate[][] = []
  for (let i = 0; i < size; i += SYNC_CHUNK_SIZE) {
    chunks.push(Array.from({ length: Math.min(SYNC_CHUNK_SIZE, size - i) }, (_, n) => createUpdate(i + n)))
  }
  return chunks
}

function createView (size: number): MembershipState {
  const state = createMembershipState({ self: { ...createUpdate(size) }, seed: 1 })
  createSyncChunks(size).forEach((updates, i, chunks) => {
    const isLast = i === chunks.length - 1
    decideMembership(state, { type: 'received', from: 'vm-0', body: { type: 'sync', updates, isLast, wantsReply: false } }, i)
  })
  readRing(state)
  return state
}

function readHeapBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

const rows = FLEET_SIZES.map(size => {
  const heapBytesBefore = readHeapBytes()
  const views = Array.from({ length: VIEW_COUNT }, () => createView(size))
  const bytesPerView = (readHeapBytes() - heapBytesBefore) / views.length
  const syncBytes = createSyncChunks(size).reduce((total, updates) => total + pack({ slice: 'membership', body: { type: 'sync', updates, isLast: true, wantsReply: true } }).length, 0)
  return { size, viewKB: Math.round(bytesPerView / 1_024), bytesPerMember: Math.round(bytesPerView / size), syncKB: Math.round(syncBytes / 1_024) }
})
console.table(rows)
console.log(JSON.stringify({ benchmark: 'membership-memory', rows }))
