import { appendFile, writeFile } from 'node:fs/promises'
import { GroupStandin, InstanceStandin } from '../../platform/src/standins/instance-standin.ts'
import { Deployment, SERVICE } from '../standins-3/deployment.ts'
import { waitFor } from '../standins-3/gateway-process.ts'
import { formatStatement, isProven, Requester, type SentStatement } from '../standins-3/requester.ts'

const RECORD_FILE = 'review/14/record.txt'
const HAS_TROUBLE = process.env.TROUBLE !== '0'
/** A region is apart from the others for little more than a minute. */
const SEPARATION_MS = 72_000
const BEFORE_MS = 4_000
const AFTER_MS = 12_000
const VMS = 3
/** Sessions at each VM, and the pause between two statements of a session: 60 statements a second on all VMs. */
const SESSIONS_PER_VM = 4
const PAUSE_MS = 200
const TENANT = { rate: 10, burst: 10 }
/** Bounds of the deployment: `quota-window-s`, `quota-overshoot` and `quota-slack`. */
const WINDOW_MS = 5_000
const ALLOWED = (TENANT.rate * WINDOW_MS / 1_000 + TENANT.burst) * 1.1 + 20

const group = new GroupStandin()
const instances = ['i-1', 'i-2', 'i-3'].map(id => new InstanceStandin(group, { id, service: SERVICE, lagMs: 60, workMs: 2 }))
const deployment = new Deployment(group, { vms: { 'edge-1': 'zone-1', 'edge-2': 'zone-2', 'edge-3': 'zone-3' }, promoteMs: 300, tenant: TENANT })
const sent: SentStatement[] = []
const load = { isOver: false }

async function record (line: string): Promise<void> {
  await appendFile(RECORD_FILE, `${(performance.now() / 1_000).toFixed(3)} ${line}\n`)
}

/** Sends reads at a steady pace, in sessions that are opened again after a close. */
async function runSession (vm: number): Promise<void> {
  while (!load.isOver) {
    const { gateway } = deployment.vms[vm]!
    const requester = new Requester(gateway.vm, gateway.port)
    if (!await requester.open('shade-lookup', 'key-workshop')) requester.close()
    while (!load.isOver && !requester.isClosed) {
      const startedAtMs = performance.now()
      sent.push(await requester.run('READ 1a4'))
      await waitFor(Math.max(0, startedAtMs + PAUSE_MS - performance.now()))
    }
    requester.close()
    await waitFor(PAUSE_MS)
  }
}

interface RunRequest { id: string, vm: string, sentAtMs: number, ranAtMs: number }

/** Lists the requests that instances have run, by the time at which they were sent. */
function listRunRequests (): RunRequest[] {
  const byId = new Map(sent.map(s => [s.id, s]))
  const firstRuns = new Map<string, number>()
  for (const { id, executedAtMs } of group.executedStatements) if (!firstRuns.has(id)) firstRuns.set(id, executedAtMs)
  const requests = [...firstRuns].flatMap(([id, ranAtMs]) => byId.has(id) ? [{ id, vm: byId.get(id)!.vm, sentAtMs: byId.get(id)!.sentAtMs, ranAtMs }] : [])
  return requests.sort((a, b) => a.sentAtMs - b.sentAtMs)
}

/** Finds the window with the most requests that were both sent and run in it, among those that begin between two times. */
function findFullestWindow (requests: readonly RunRequest[], fromMs: number, untilMs: number): { atMs: number, count: number, byVm: Record<string, number> } {
  let fullest = { atMs: fromMs, count: 0, byVm: {} as Record<string, number> }
  for (const { sentAtMs: atMs } of requests.filter(r => r.sentAtMs >= fromMs && r.sentAtMs < untilMs)) {
    const within = requests.filter(r => r.sentAtMs >= atMs && r.ranAtMs < atMs + WINDOW_MS)
    if (within.length <= fullest.count) continue
    const byVm: Record<string, number> = {}
    for (const { vm } of within) byVm[vm] = (byVm[vm] ?? 0) + 1
    fullest = { atMs, count: within.length, byVm }
  }
  return fullest
}

async function recordPhase (name: string, requests: readonly RunRequest[], fromMs: number, untilMs: number): Promise<number> {
  const { atMs, count, byVm } = findFullestWindow(requests, fromMs, untilMs)
  await record(`${name}: at most ${count} requests of the tenant were sent and run in 5 s, from ${(atMs / 1_000).toFixed(3)}; allowed ${ALLOWED}; by VM ${JSON.stringify(byVm)}`)
  return count
}

async function playCase (): Promise<number> {
  await writeFile(RECORD_FILE, '')
  await deployment.start()
  await record(`started: ${deployment.vms.map(vm => `${vm.name} in ${vm.domain}`).join(', ')}; rate ${TENANT.rate}/s, burst ${TENANT.burst}`)
  const loops = Array.from({ length: VMS * SESSIONS_PER_VM }, async (_, i) => await runSession(i % VMS))
  const startedAtMs = performance.now()
  await waitFor(BEFORE_MS)
  if (HAS_TROUBLE) {
    await record('zone-3 is separated from zone-1 and zone-2, VMs and instances; every VM reaches the platform')
    deployment.separate(['zone-1', 'zone-3'], ['zone-2', 'zone-3'])
  }
  const separatedAtMs = performance.now()
  await waitFor(SEPARATION_MS)
  await deployment.endSeparation()
  await record('the separation has ended')
  const endedAtMs = performance.now()
  await waitFor(AFTER_MS)
  load.isOver = true
  const entries = deployment.vms.filter(({ name }) => deployment.store.readSpec('camphorpitch-vms', name) !== undefined).map(vm => vm.name)
  await Promise.all(loops)
  await record(`entries of VMs in the store at the end: ${entries.join(', ') || 'none'}`)
  await record(`${sent.length} statements sent, ${sent.filter(isProven).length} answered with proof, ${sent.filter(s => s.lines.some(l => l.startsWith('ERROR TOOMANY'))).length} answered TOOMANY`)
  const requests = listRunRequests()
  if (requests.length < 200) return 2
  const counts = [
    await recordPhase('before the separation', requests, startedAtMs, separatedAtMs),
    await recordPhase('during the separation', requests, separatedAtMs, endedAtMs - WINDOW_MS),
    await recordPhase('after the separation', requests, endedAtMs, Infinity)
  ]
  const ranAt = new Map(requests.map(r => [r.id, r.ranAtMs]))
  await appendFile(RECORD_FILE, sent.map(s => formatStatement(s, ranAt.get(s.id))).join(''))
  return Math.max(...counts) > ALLOWED ? 1 : 0
}

let exitCode = 2
try {
  exitCode = await playCase()
} catch (error) {
  await record(`could not run: ${error instanceof Error ? error.stack : String(error)}`)
}
await deployment.stop()
await record(`ended; ${instances.length} instances stopped`)
process.exit(exitCode)
