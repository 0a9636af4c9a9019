import type { Experiment, WorkspaceLoad } from './schema.ts'

const DURATION_MS = 20_000
const WARMUP_MS = 4_000
const FAILOVER_AT_MS = 8_000
const CLIENT_TIMEOUT_MS = 5_000

/** The first two workspaces are large, the others small. All share the same databases. */
function createWorkspaces (names: readonly string[]): WorkspaceLoad[] {
  return names.map((workspace, i) => {
    const isLarge = i < 2
    return {
      workspace,
      rate: isLarge ? { statementsPerSecond: 100, burst: 100 } : { statementsPerSecond: 25, burst: 25 },
      callers: isLarge ? 6 : 2,
      offeredPerSecond: isLarge ? 40 : 8
    }
  })
}

const fjordlakk: Experiment = {
  name: 'fjordlakk',
  fleet: {
    vms: 9,
    databases: ['orders', 'formulas', 'batches'],
    instancesPerDatabase: 3,
    maxConnections: 20,
    slots: 3,
    connectDelayMs: 12,
    replicationDelayMs: 20,
    statementDelayMs: 2
  },
  workspaces: createWorkspaces(['bergen', 'oslo', 'hamar', 'larvik', 'molde', 'narvik', 'tromso', 'voss']),
  load: { loop: 'open', thinkTimeMs: 0, mix: { read: 80, write: 15, transaction: 5 }, operationsPerVm: 20, maxAgeMs: 0, timeoutMs: CLIENT_TIMEOUT_MS },
  durationMs: DURATION_MS,
  warmupMs: WARMUP_MS,
  seed: 1,
  faults: [{ atMs: FAILOVER_AT_MS, kind: 'kill-primary', database: 'orders' }],
  baseline: false
}

const brasswind: Experiment = {
  ...fjordlakk,
  name: 'brasswind',
  fleet: { ...fjordlakk.fleet, vms: 8, databases: ['bookings', 'deposits', 'parts'], maxConnections: 45 },
  workspaces: createWorkspaces(['asan', 'patan', 'bhaktapur', 'kirtipur', 'thimi', 'banepa', 'dhulikhel', 'panauti']),
  faults: [{ atMs: FAILOVER_AT_MS, kind: 'kill-primary', database: 'bookings' }]
}

/** Workloads modelled on two users, at their present size. */
export const presets = { fjordlakk, brasswind } as const
export type PresetName = keyof typeof presets
export const presetNames = Object.keys(presets) as [PresetName, ...PresetName[]]
