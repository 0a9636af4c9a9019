import { performance } from 'node:perf_hooks'
import { decidePool } from '../../../proxy/src/pool/decide-pool.ts'
import { computePoolLimits, createPoolState } from '../../../proxy/src/pool/state.ts'

/**
 * Measures the CPU time of the pool's decisions for one statement and the memory of a waiting request,
 * by the number of workspaces and of waiting requests. Calls the decision function directly, without
 * sockets or an actor.
 *
 * @example node --expose-gc --import=tsx packages/load/src/benchmarks/pool.ts
 */

const WORKSPACE_COUNTS = [8, 64, 256]
const WAITING_PER_WORKSPACE = [0, 16, 128]
const STATEMENT_COUNT = 5_000
const DEADLINE_MS = 1e9

/** `bytesPerWaiting` is `null` without waiting requests, or when the process runs without `--expose-gc`. */
interface PoolCost { workspaces: number, waiting: number, microsPerStatement: number, bytesPerWaiting: number | null }

function measureHeapBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

function measurePool (workspaces: number, waitingPerWorkspace: number): PoolCost {
  const state = createPoolState(computePoolLimits(18, 3))
  const grantedConnections: number[] = []
  let nowMs = 0
  let lastWaiterId = 0
  const tell = (message: Parameters<typeof decidePool>[1]): void => {
    for (const e of decidePool(state, message, nowMs).effects) {
      if (e.type === 'grant') grantedConnections.push(e.connection)
      if (e.type === 'open') openingConnections.push(e.connection)
    }
  }
  const openingConnections: number[] = []
  const acquire = (workspace: number): void => tell({ type: 'acquire', waiter: { id: ++lastWaiterId, workspace: `w${workspace}`, isPinned: false, deadlineMs: DEADLINE_MS } })
  const heapBytesBefore = measureHeapBytes()
  for (let w = 0; w < workspaces; w++) {
    for (let i = 0; i < waitingPerWorkspace; i++) acquire(w)
  }
  const waitingHeapBytes = measureHeapBytes() - heapBytesBefore
  for (let connection = openingConnections.shift(); connection !== undefined; connection = openingConnections.shift()) tell({ type: 'opened', connection })
  const startedAtMs = performance.now()
  for (let i = 0; i < STATEMENT_COUNT; i++) {
    nowMs += 1
    acquire(i % workspaces)
    const openingConnection = openingConnections.shift()
    if (openingConnection !== undefined) tell({ type: 'opened', connection: openingConnection })
    const connection = grantedConnections.shift()
    if (connection !== undefined) tell({ type: 'released', connection, isReusable: true })
  }
  const microsPerStatement = (performance.now() - startedAtMs) * 1_000 / STATEMENT_COUNT
  const waiting = workspaces * waitingPerWorkspace
  return {
    workspaces,
    waiting,
    microsPerStatement: Math.round(microsPerStatement * 10) / 10,
    bytesPerWaiting: waiting === 0 || globalThis.gc === undefined ? null : Math.round(waitingHeapBytes / waiting)
  }
}

measurePool(8, 16)
const rows = WORKSPACE_COUNTS.flatMap(w => WAITING_PER_WORKSPACE.map(n => measurePool(w, n)))
console.table(rows)
console.log(JSON.stringify({ benchmark: 'pool', rows }))
