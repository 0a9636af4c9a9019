import { comparePositions, pickLaterPosition, zeroPosition, type LogPosition } from '@camphorpitch/wire'
import { pickCandidate, type FencedEndpoint } from '../failover/decide-promotion.ts'
import type { OpenOrder, StrayCall } from '../failover/duty-claim.ts'
import { computeRequiredEnd } from '../failover/fence-departures.ts'
import { CALL_LIFETIME_MS, canOrder, decideOrderState, findStrayCall, isCallDue, isFenceIntact, isLookRecent, pickLaterStray } from '../failover/order-decisions.ts'
import { hasOpenOrder, recordOpenOrder, createGroupState, type KnownOrder, type KnownPrimary } from '../freshness/group-state.ts'
import { addDeparture, recordGone, recordLogEnd, removeDeparture, type Departure } from '../groups/departures.ts'
import type { Successor } from './explore-states.ts'

/** A model of promotion orders, whose VMs decide by the product's functions. Time passes in ticks; the order of all else is free. */

const TICK_MS = 10_000
/** An entry that is at least this old does not count as recent. */
const OLD_START_MS = -60_000

interface ModelEndpoint {
  role: 'primary' | 'replica'
  term: number
  /** The term of each log entry. */
  log: string
  pausedForTerm: number
  startedAtMs: number
  isRunning: boolean
  isListed: boolean
  /** Start that the VMs know from the directory. */
  listedStartMs: number
}

interface ModelAttempt {
  step: 'claimed' | 'fenced' | 'recorded' | 'looked' | 'called'
  replacedTerm: number
  fenced: FencedEndpoint[]
  /** Latest position that the VMs told to be acknowledged; `undefined` if not every VM did. */
  acknowledged: LogPosition | null | undefined
  unfencedReplicas: number
  departures: Array<Pick<Departure, 'logEnd'>>
  order: OpenOrder | null
  candidate: string | null
  lookedAtMs: number
}

interface ModelVm {
  isRunning: boolean
  hasLease: boolean
  known: KnownPrimary
  openOrder: KnownOrder | null
  departures: Departure[]
  attempt: ModelAttempt | null
}

interface ModelCall { endpoint: string, sentAtMs: number, isExecuted: boolean }

/** Endpoints that each kind of fault may happen to; each letter is the name of one. */
export interface FaultTargets { crashes: string, restarts: string, lapses: string }

/** Faults and other events that may still happen; together they bound the states. */
export interface EventBudget { attempts: number, commits: number, crashes: number, restarts: number, lapses: number, calls: number, deaths: number, ticks: number, unreached: number }

export interface OrderState {
  nowMs: number
  endpoints: Record<string, ModelEndpoint>
  acknowledged: LogPosition[]
  /** Commits whose acknowledgement a VM waits for. */
  pending: Array<{ vm: number, endpoint: string, position: LogPosition }>
  vms: ModelVm[]
  claim: { holder: number | null, order: OpenOrder | null, stray: StrayCall | null }
  calls: ModelCall[]
  left: EventBudget
  targets: FaultTargets
  /** Whether a further VM, which does nothing else, confirms no revocation: the acknowledged positions are not known then. */
  hasSilentVm: boolean
  fault: string | null
}

/** The decisions that an exploration may replace by earlier ones, to show that it finds their faults. */
export interface OrderRules {
  recordLogEnd: typeof recordLogEnd
  computeRequiredEnd: (departure: Departure, received: LogPosition) => LogPosition | null
  isLookRecent: typeof isLookRecent
  findStrayCall: typeof findStrayCall
}

export const productRules: OrderRules = { recordLogEnd, computeRequiredEnd, isLookRecent, findStrayCall }

/** Creates a group whose primary `p` leads `a` and `b` at term 1, and `vmCount` VMs that hold its lease. */
export function createOrderState (left: Partial<EventBudget>, vmCount = 1, targets: Partial<FaultTargets> = {}, hasSilentVm = false): OrderState {
  const createEndpoint = (role: ModelEndpoint['role']): ModelEndpoint => ({ role, term: 1, log: '', pausedForTerm: 0, startedAtMs: OLD_START_MS, isRunning: true, isListed: true, listedStartMs: OLD_START_MS })
  const createVm = (): ModelVm => ({ isRunning: true, hasLease: true, known: { endpoint: 'p', term: 1 }, openOrder: null, departures: [], attempt: null })
  return {
    nowMs: 0,
    endpoints: { p: createEndpoint('primary'), a: createEndpoint('replica'), b: createEndpoint('replica') },
    acknowledged: [],
    pending: [],
    vms: Array.from({ length: vmCount }, createVm),
    claim: { holder: null, order: null, stray: null },
    calls: [],
    left: { attempts: 0, commits: 0, crashes: 0, restarts: 0, lapses: 0, calls: 0, deaths: 0, ticks: 0, unreached: 0, ...left },
    targets: { crashes: 'pab', restarts: 'pab', lapses: 'pab', ...targets },
    hasSilentVm,
    fault: null
  }
}

function readEnd (log: string): LogPosition {
  return log === '' ? zeroPosition : { term: Number(log.at(-1)), index: log.length }
}

function hasReceived ({ log }: ModelEndpoint, { term, index }: LogPosition): boolean {
  return log[index - 1] === String(term)
}

/** Lists every event that is possible in a state, with the state after it. */
export function listOrderEvents (state: OrderState, rules: OrderRules = productRules): Array<Successor<OrderState>> {
  const successors: Array<Successor<OrderState>> = []
  const add: AddEvent = (event, apply) => {
    const copy = createCopy(state)
    if (apply(copy) !== false) successors.push([event, copy])
  }
  const spend: SpendEvent = (s, kind) => s.left[kind]-- > 0
  for (const name of Object.keys(state.endpoints)) addEndpointEvents(name, state.targets, add, spend)
  state.vms.forEach((vm, i) => { if (vm.isRunning) addVmEvents(i, vm, rules, add, spend) })
  state.calls.forEach(({ endpoint, isExecuted }, i) => {
    if (isExecuted) add(`order for ${endpoint} takes effect`, s => promoteEndpoint(s, i))
    else add(`platform executes the call for ${endpoint}`, s => executeCall(s, i))
  })
  add('time passes', s => {
    s.nowMs += TICK_MS
    s.calls = s.calls.filter(c => c.isExecuted || s.nowMs - c.sentAtMs < CALL_LIFETIME_MS)
    return spend(s, 'ticks')
  })
  return successors
}

/** Copies what events change in place. */
function createCopy (s: OrderState): OrderState {
  return {
    ...s,
    endpoints: Object.fromEntries(Object.entries(s.endpoints).map(([name, e]) => [name, { ...e }])),
    acknowledged: [...s.acknowledged],
    pending: [...s.pending],
    vms: s.vms.map(vm => ({ ...vm, departures: vm.departures.map(d => ({ ...d })), attempt: vm.attempt === null ? null : { ...vm.attempt, fenced: [...vm.attempt.fenced], departures: [...vm.attempt.departures] } })),
    claim: { ...s.claim },
    calls: s.calls.map(c => ({ ...c })),
    left: { ...s.left }
  }
}

type AddEvent = (event: string, apply: (s: OrderState) => boolean | void) => void
type SpendEvent = (s: OrderState, kind: keyof EventBudget) => boolean

function addEndpointEvents (name: string, { crashes, restarts, lapses }: FaultTargets, add: AddEvent, spend: SpendEvent): void {
  add(`${name} crashes`, s => {
    if (!crashes.includes(name) || !s.endpoints[name]!.isRunning || !spend(s, 'crashes')) return false
    s.endpoints[name]!.isRunning = false
    s.pending = s.pending.filter(c => c.endpoint !== name)
  })
  add(`${name} is back with its log`, s => {
    const e = s.endpoints[name]!
    if (e.isRunning) return false
    e.isRunning = true
    if (Object.values(s.endpoints).some(o => o.term > e.term)) e.role = 'replica'
  })
  add(`${name} restarts without its log`, s => {
    const e = s.endpoints[name]!
    if (!restarts.includes(name)) return false
    const isHeldElsewhere = Object.entries(s.endpoints).some(([other, o]) => other !== name && o.isRunning && s.acknowledged.every(p => hasReceived(o, p)))
    if (e.role === 'primary' || !e.isRunning || !isHeldElsewhere || !spend(s, 'restarts')) return false
    Object.assign(e, { log: '', pausedForTerm: 0, startedAtMs: s.nowMs + 1 })
  })
  add(`the directory tells the start of ${name}`, s => {
    const e = s.endpoints[name]!
    return e.isListed && e.listedStartMs !== e.startedAtMs && registerStart(s, name)
  })
  add(`entry of ${name} lapses`, s => {
    const e = s.endpoints[name]!
    if (!lapses.includes(name) || e.role === 'primary' || !e.isListed || !spend(s, 'lapses')) return false
    e.isListed = false
    for (const vm of s.vms) addDeparture(vm.departures, { endpoint: name, startedAtMs: e.listedStartMs, address: name }, s.nowMs)
  })
  add(`entry of ${name} is back`, s => {
    const e = s.endpoints[name]!
    if (e.isListed || !e.isRunning) return false
    Object.assign(e, { isListed: true, listedStartMs: e.startedAtMs })
    for (const vm of s.vms) removeDeparture(vm.departures, { endpoint: name, startedAtMs: e.startedAtMs }, s.nowMs)
  })
  add(`${name} receives`, s => receiveEntry(s, name))
}

function registerStarts (s: OrderState): void {
  for (const [name, e] of Object.entries(s.endpoints)) if (e.isListed && e.listedStartMs !== e.startedAtMs) registerStart(s, name)
}

/** Tells all VMs the start of an endpoint without its log. */
function registerStart ({ endpoints, vms, nowMs }: OrderState, name: string): boolean {
  const e = endpoints[name]!
  for (const vm of vms) addDeparture(vm.departures, { endpoint: name, startedAtMs: e.listedStartMs, address: name, isGone: true }, nowMs)
  e.listedStartMs = e.startedAtMs
  return true
}

/** Has a replica receive one entry, or first drop what its primary lacks. */
function receiveEntry (s: OrderState, name: string): boolean {
  const { endpoints } = s
  const e = endpoints[name]!
  const primary = Object.values(endpoints).filter(o => o.isRunning && o.role === 'primary' && o.term >= e.term).sort((x, y) => y.term - x.term)[0]
  if (!e.isRunning || e.role === 'primary' || primary === undefined) return false
  if (e.pausedForTerm > 0 && (primary.term === e.term || primary.term < e.pausedForTerm)) return false
  if (primary.term > e.term) {
    let length = 0
    while (length < e.log.length && e.log[length] === primary.log[length]) length++
    Object.assign(e, { term: primary.term, pausedForTerm: 0, log: e.log.slice(0, length) })
    return true
  }
  if (e.log.length >= primary.log.length) return false
  e.log = primary.log.slice(0, e.log.length + 1)
  const end = readEnd(e.log)
  const pending = s.pending.find(c => comparePositions(c.position, end) === 0 && endpoints[c.endpoint] === primary)
  if (pending === undefined) return true
  s.pending = s.pending.filter(c => c !== pending)
  s.acknowledged.push(end)
  return true
}

function executeCall (s: OrderState, index: number): void {
  const call = s.calls[index]!
  const e = s.endpoints[call.endpoint]!
  const isRepeated = s.calls.some(c => c.isExecuted && c.endpoint === call.endpoint)
  if (e.isRunning && e.role === 'replica' && !isRepeated) call.isExecuted = true
  else s.calls.splice(index, 1)
}

function promoteEndpoint (s: OrderState, index: number): void {
  const [call] = s.calls.splice(index, 1)
  const e = s.endpoints[call!.endpoint]!
  if (!e.isRunning || e.role === 'primary' || e.startedAtMs > call!.sentAtMs) return
  const missing = s.acknowledged.filter(p => !hasReceived(e, p))
  if (missing.length > 0) s.fault = `${call!.endpoint} lacks ${missing.map(p => `${p.term}.${p.index}`).join(', ')}`
  const term = Math.max(...Object.values(s.endpoints).map(o => o.term)) + 1
  Object.assign(e, { role: 'primary', term, pausedForTerm: 0 })
}

function addVmEvents (i: number, vm: ModelVm, rules: OrderRules, add: AddEvent, spend: SpendEvent): void {
  const name = `vm${i + 1}`
  const { attempt, known } = vm
  if (vm.hasLease) {
    add(`${name} commits at ${known.endpoint}`, s => {
      const e = s.endpoints[known.endpoint]!
      if (!e.isRunning || e.role !== 'primary' || e.term !== known.term || !spend(s, 'commits')) return false
      e.log += String(e.term)
      s.pending.push({ vm: i, endpoint: known.endpoint, position: readEnd(e.log) })
    })
  } else if (attempt === null) add(`${name} verifies that ${known.endpoint} leads`, s => verifyLeader(s, i))
  add(`${name} hears the end of the log of ${known.endpoint}`, s => {
    const e = s.endpoints[known.endpoint]!
    const { departures } = s.vms[i]!
    if (!e.isRunning || e.role !== 'primary' || departures.every(d => d.logEnd !== null)) return false
    rules.recordLogEnd(departures, readEnd(e.log), s.nowMs)
  })
  for (const d of vm.departures) {
    add(`${name} finds that ${d.endpoint} has ended`, s => {
      if (d.isGone === true || s.endpoints[d.endpoint]!.isRunning) return false
      recordGone(s.vms[i]!.departures, d, s.nowMs)
    })
  }
  add(`${name} ends`, s => {
    if (!spend(s, 'deaths')) return false
    Object.assign(s.vms[i]!, { isRunning: false, hasLease: false, attempt: null, departures: [] })
    s.pending = s.pending.filter(c => c.vm !== i)
    if (s.claim.holder === i) s.claim.holder = null
  })
  if (attempt === null) add(`${name} claims the duty`, s => s.claim.holder === null && spend(s, 'attempts') && beginAttempt(s, i, rules))
  else addAttemptEvents(i, attempt, rules, add, spend)
}

/** Grants the lease if a replica that is not paused follows the primary, and none is paused for a later term. */
function verifyLeader (s: OrderState, i: number): boolean {
  const vm = s.vms[i]!
  const state = { ...createGroupState('s'), primary: vm.known, openOrder: vm.openOrder }
  const replicas = Object.entries(s.endpoints).filter(([name, e]) => name !== vm.known.endpoint && e.isListed && e.isRunning && e.role === 'replica').map(([, e]) => e)
  const isProven = replicas.some(e => e.pausedForTerm === 0 && e.term === vm.known.term && s.nowMs - e.startedAtMs >= 10_000) && replicas.every(e => e.pausedForTerm <= vm.known.term)
  if (!isProven || hasOpenOrder(state) || s.claim.holder !== null) return false
  vm.hasLease = true
  return true
}

function beginAttempt (s: OrderState, i: number, rules: OrderRules): boolean {
  const { known } = s.vms[i]!
  const { order } = s.claim
  s.claim.holder = i
  const isOpen = order !== null && order.replacedTerm >= known.term
  if (order !== null && !isOpen) s.claim.stray = pickLaterStray(s.claim.stray, rules.findStrayCall(order, known.endpoint))
  s.vms[i]!.attempt = { step: 'claimed', replacedTerm: known.term, fenced: [], acknowledged: undefined, unfencedReplicas: 0, departures: [], order: isOpen ? order : null, candidate: null, lookedAtMs: 0 }
  return true
}

function addAttemptEvents (i: number, attempt: ModelAttempt, rules: OrderRules, add: AddEvent, spend: SpendEvent): void {
  const name = `vm${i + 1}`
  switch (attempt.step) {
    case 'claimed':
      add(`${name} fences the group`, s => fenceModel(s, i, rules, null))
      for (const silent of ['p', 'a', 'b']) add(`${name} fences the group, ${silent} is silent`, s => spend(s, 'unreached') && fenceModel(s, i, rules, silent))
      break
    case 'fenced':
      add(`${name} compares the endpoints and records its order`, s => selectCandidate(s, i))
      break
    case 'recorded':
      add(`${name} looks at ${attempt.candidate}`, s => checkCandidate(s, i))
      break
    case 'looked':
      add(`${name} calls the platform for ${attempt.candidate}`, s => sendCall(s, i, rules))
      break
    case 'called':
      add(`${name} sees the effect`, s => finishModelAttempt(s, i, rules))
      add(`${name} waits in vain`, s => {
        const { order } = s.vms[i]!.attempt!
        if (s.left.calls === 0) return false
        const waited = { ...order!, waits: order!.waits + 1 }
        Object.assign(s.vms[i]!.attempt!, { order: waited, step: isCallDue(waited, s.nowMs) ? 'recorded' : 'called' })
      })
      add(`${name} ends its attempt`, s => endAttempt(s, i))
  }
}

/**
 * Pauses the replicas at the attempt's term, waits until all leases have ended, and reads the logs. If not every acknowledged position is
 * known, the directory has told all earlier starts by then.
 */
function fenceModel (s: OrderState, i: number, rules: OrderRules, silent: string | null): boolean {
  const vm = s.vms[i]!
  const attempt = vm.attempt!
  for (const other of s.vms) other.hasLease = false
  s.pending = []
  if (!s.hasSilentVm && s.vms.every(v => v.isRunning)) attempt.acknowledged = s.acknowledged.reduce<LogPosition | null>(pickLaterPosition, null)
  else registerStarts(s)
  const isSilent = (name: string): boolean => name === silent || !s.endpoints[name]!.isRunning
  const reached = Object.entries(s.endpoints).filter(([name]) => !isSilent(name))
  const later = reached.find(([, e]) => e.term > attempt.replacedTerm)
  if (later !== undefined) {
    if (later[1].role === 'primary') vm.known = { endpoint: later[0], term: later[1].term }
    return endAttempt(s, i)
  }
  for (const [name, e] of reached) {
    const isPrimary = e.role === 'primary'
    if (isPrimary) e.role = 'replica'
    else e.pausedForTerm = Math.max(e.pausedForTerm, attempt.replacedTerm + 1)
    if (e.isListed) attempt.fenced.push({ endpoint: name, term: e.term, received: readEnd(e.log), isDraining: false, ageMs: s.nowMs - e.listedStartMs, isOldPrimary: isPrimary })
  }
  const canRun = (name: string): boolean => s.endpoints[name]!.isListed || vm.departures.some(d => d.endpoint === name && d.isGone !== true)
  attempt.unfencedReplicas = Object.keys(s.endpoints).filter(name => isSilent(name) && name !== vm.known.endpoint && canRun(name)).length
  for (const d of vm.departures.filter(({ endpoint }) => endpoint !== vm.known.endpoint)) {
    const e = s.endpoints[d.endpoint]!
    const isPaused = !e.isListed && d.isGone !== true && !isSilent(d.endpoint)
    attempt.departures.push({ logEnd: isPaused ? rules.computeRequiredEnd(d, readEnd(e.log)) : d.logEnd })
  }
  attempt.step = 'fenced'
  return true
}

/** Picks an endpoint, that of an open order first, and records the order. */
function selectCandidate (s: OrderState, i: number): boolean {
  const vm = s.vms[i]!
  const attempt = vm.attempt!
  const { fenced, unfencedReplicas, departures } = attempt
  const isComplete = attempt.acknowledged !== undefined
  const acknowledged = attempt.acknowledged ?? null
  const state = attempt.order === null ? 'ended' : decideModelOrder(s, vm, attempt.order, acknowledged)
  if (state === 'lapsed' || state === 'silent') return endAttempt(s, i)
  const endedOrder = attempt.order
  if (state === 'ended') attempt.order = null
  const picked = pickCandidate({ fenced, unfencedReplicas, departures, acknowledged, hasEveryVmConfirmed: isComplete, hasEveryAcknowledgement: isComplete, preferred: s.claim.stray?.endpoint, lastLeader: vm.known, endedOrder })
  const candidate = attempt.order?.endpoint ?? picked?.endpoint
  if (candidate === undefined || !canOrder(candidate, s.claim.stray, s.nowMs)) return endAttempt(s, i)
  const { received } = fenced.find(f => f.endpoint === candidate)!
  attempt.order ??= { endpoint: candidate, startedAtMs: s.endpoints[candidate]!.listedStartMs, replacedTerm: attempt.replacedTerm, received, isProven: true, isAccepted: false, waits: 1, calls: 0, calledAtMs: 0 }
  s.claim.order = attempt.order
  Object.assign(attempt, { candidate, step: isCallDue(attempt.order, s.nowMs) ? 'recorded' : 'called' })
  return true
}

function decideModelOrder (s: OrderState, { attempt, departures }: ModelVm, order: OpenOrder, acknowledged: LogPosition | null): ReturnType<typeof decideOrderState> {
  const { isListed, listedStartMs } = s.endpoints[order.endpoint]!
  const received = attempt!.fenced.find(f => f.endpoint === order.endpoint)?.received ?? null
  return decideOrderState(order, { startedAtMs: isListed ? listedStartMs : undefined, departures, received, acknowledged, nowMs: s.nowMs })
}

function checkCandidate (s: OrderState, i: number): boolean {
  const attempt = s.vms[i]!.attempt!
  const { received } = attempt.order!
  const e = s.endpoints[attempt.candidate!]!
  const paused = new Set(attempt.fenced.filter(f => !f.isOldPrimary).map(f => f.endpoint))
  const statuses = Object.entries(s.endpoints).filter(([, o]) => o.isRunning && o.isListed).map(([endpoint, status]) => ({ endpoint, status }))
  if (!e.isRunning || comparePositions(readEnd(e.log), received) < 0 || !isFenceIntact(paused, statuses, attempt.replacedTerm + 1)) return endAttempt(s, i)
  Object.assign(attempt, { step: 'looked', lookedAtMs: s.nowMs })
  return true
}

function sendCall (s: OrderState, i: number, rules: OrderRules): boolean {
  const attempt = s.vms[i]!.attempt!
  if (!rules.isLookRecent(attempt.lookedAtMs, s.nowMs)) {
    attempt.step = 'recorded'
    return true
  }
  if (s.left.calls-- <= 0) return false
  attempt.order = { ...attempt.order!, waits: 0, calls: attempt.order!.calls + 1, calledAtMs: s.nowMs }
  s.claim.order = attempt.order
  const { endpoint, startedAtMs, replacedTerm, received } = attempt.order!
  for (const vm of s.vms.filter(v => v.isRunning)) {
    const state = { ...createGroupState('s'), primary: vm.known, openOrder: vm.openOrder }
    recordOpenOrder(state, { endpoint, startedAtMs, replacedTerm, received, epoch: 0 }, s.nowMs)
    Object.assign(vm, { openOrder: state.openOrder, hasLease: false })
  }
  s.calls.push({ endpoint, sentAtMs: s.nowMs, isExecuted: false })
  attempt.step = 'called'
  return true
}

function finishModelAttempt (s: OrderState, i: number, rules: OrderRules): boolean {
  const attempt = s.vms[i]!.attempt!
  const e = s.endpoints[attempt.candidate!]!
  if (!e.isRunning || e.role !== 'primary' || e.term <= attempt.replacedTerm) return false
  for (const vm of s.vms) if (vm.isRunning) Object.assign(vm, { known: { endpoint: attempt.candidate!, term: e.term }, openOrder: null })
  s.claim.stray = pickLaterStray(s.claim.stray, rules.findStrayCall(attempt.order!, attempt.candidate))
  attempt.order = null
  return endAttempt(s, i)
}

/** Ends an attempt; resumes the replicas unless an order may still take effect. */
function endAttempt (s: OrderState, i: number): boolean {
  const vm = s.vms[i]!
  const { order } = vm.attempt!
  if (order === null) for (const e of Object.values(s.endpoints)) if (e.isRunning) e.pausedForTerm = 0
  s.claim = { ...s.claim, holder: null, order }
  vm.attempt = null
  return true
}
