import { expect } from 'chai'
import fc from 'fast-check'
import { comparePositions, hasReached, pickLaterPosition, zeroPosition, type InstanceStatus, type LogPosition, type TermStart } from '@camphorpitch/wire'
import type { InstanceView } from '../failover/group-view.ts'
import { computeBaseline, recordBaseline, type BaselineHistory } from './baseline-history.ts'
import { isLastAppliedOfCurrentTerm, isReplicaOfCurrentTerm } from './instance-contents.ts'
import { selectReadTarget, type ReadTarget, type ReadTargetOptions } from './select-read-target.ts'

const INSTANCE_NAMES = ['db-1', 'db-2', 'db-3']
const VM_COUNT = 2
const SESSION_COUNT = 3

interface Entry { term: number, id: number, atMs: number }
interface Instance { name: string, term: number, role: InstanceStatus['role'], log: Entry[], applied: number }
interface Session { position: LogPosition, writtenIds: Set<number>, seenIds: Set<number> }
interface Vm { views: Map<string, { status: InstanceStatus, probedAtMs: number }>, history: BaselineHistory }
type Selector = (options: ReadTargetOptions) => ReadTarget

function readPosition (log: readonly Entry[], index: number): LogPosition {
  return index === 0 ? zeroPosition : { term: log[index - 1]!.term, index }
}

function readStatus (i: Instance): InstanceStatus {
  const termStarts: TermStart[] = []
  i.log.forEach((e, n) => { if (termStarts.at(-1)?.[0] !== e.term) termStarts.push([e.term, n + 1]) })
  return { instance: i.name, term: i.term, role: i.role, primary: null, applied: readPosition(i.log, i.applied), logged: readPosition(i.log, i.log.length), termStarts }
}

const actionArbitrary = fc.record({
  kind: fc.constantFrom('write', 'write', 'append', 'append', 'read', 'read', 'read', 'ship', 'ship', 'apply', 'apply', 'probe', 'probe', 'failover'),
  session: fc.nat(SESSION_COUNT - 1),
  vm: fc.nat(VM_COUNT - 1),
  instance: fc.nat(INSTANCE_NAMES.length - 1),
  amount: fc.integer({ min: 1, max: 4 }),
  maxAgeMs: fc.constantFrom(0, 0, 0, 40)
})
type Action = typeof actionArbitrary extends fc.Arbitrary<infer T> ? T : never

/** Simulates a group with lagging replicas and changing primaries, VMs with outdated views of it, and sessions that move between VMs. */
class SimulatedGroup {
  readonly #select: Selector
  readonly #hasReadConfirmation: boolean
  readonly #instances: Instance[] = INSTANCE_NAMES.map((name, n) => ({ name, term: 1, role: n === 0 ? 'primary' : 'replica', log: [], applied: 0 }))
  readonly #vms: Vm[] = Array.from({ length: VM_COUNT }, () => ({ views: new Map(), history: [] }))
  readonly #sessions: Session[] = Array.from({ length: SESSION_COUNT }, () => ({ position: zeroPosition, writtenIds: new Set(), seenIds: new Set() }))
  readonly #acknowledged: Entry[] = []
  #nowMs = 0
  #lastId = 0
  servedReads = 0
  readsServedByReplica = 0

  constructor (select: Selector, hasReadConfirmation: boolean) {
    this.#select = select
    this.#hasReadConfirmation = hasReadConfirmation
  }

  applyAction (action: Action): void {
    this.#nowMs += 10
    const instance = this.#instances[action.instance]!
    switch (action.kind) {
      case 'write': return this.#write(this.#sessions[action.session]!)
      case 'append':
        if (instance.role === 'primary') this.#append(instance)
        return
      case 'read': return this.#read(this.#sessions[action.session]!, this.#vms[action.vm]!, action.maxAgeMs)
      case 'ship': return this.#ship(instance, action.amount)
      case 'apply':
        if (instance.role === 'replica') instance.applied = Math.min(instance.log.length, instance.applied + action.amount)
        return
      case 'probe': return this.#probe(this.#vms[action.vm]!, instance)
      case 'failover': return this.#changePrimary(action.instance)
    }
  }

  /** Checks that every session can read once all instances follow the primary and have caught up. */
  checkAfterRecovery (): void {
    const primary = this.#findPrimary()
    for (const i of this.#instances) {
      if (i.term === primary.term) continue
      i.term = primary.term
      i.role = 'replica'
    }
    this.#write({ position: zeroPosition, writtenIds: new Set(), seenIds: new Set() })
    for (const i of this.#instances) {
      this.#ship(i, Infinity)
      i.applied = i.log.length
    }
    for (const i of this.#instances) this.#probe(this.#vms[0]!, i)
    for (const s of this.#sessions) {
      const servedBefore = this.servedReads
      this.#read(s, this.#vms[0]!, 0)
      expect(this.servedReads, 'no instance will ever hold what the session saw').to.equal(servedBefore + 1)
    }
  }

  #findPrimary (): Instance {
    return this.#instances.filter(i => i.role === 'primary').sort((a, b) => b.term - a.term)[0]!
  }

  #isDurable (position: LogPosition): boolean {
    return this.#instances.filter(i => i.term === position.term && comparePositions(readPosition(i.log, i.log.length), position) >= 0).length >= 2
  }

  /** Appends an entry without acknowledging it; the primary may be one of an older term. */
  #append (primary: Instance): Entry {
    const entry = { term: primary.term, id: ++this.#lastId, atMs: this.#nowMs }
    primary.log.push(entry)
    primary.applied = primary.log.length
    return entry
  }

  #write (session: Session): void {
    const primary = this.#findPrimary()
    const entry = this.#append(primary)
    const position = readPosition(primary.log, primary.log.length)
    if (!this.#isDurable(position)) this.#ship(this.#instances.find(i => i.role === 'replica' && i.term === primary.term) ?? primary, 100)
    if (!this.#isDurable(position)) return
    this.#acknowledged.push(entry)
    session.writtenIds.add(entry.id)
    session.position = pickLaterPosition(session.position, position)
  }

  #ship (replica: Instance, amount: number): void {
    const primary = this.#findPrimary()
    if (replica.role !== 'replica' || replica.term !== primary.term) return
    let commonLength = 0
    while (commonLength < replica.log.length && replica.log[commonLength] === primary.log[commonLength]) commonLength++
    replica.log.splice(commonLength, replica.log.length, ...primary.log.slice(commonLength, commonLength + amount))
    replica.applied = Math.min(replica.applied, commonLength)
  }

  /** Fences a majority, promotes the instance with its longest log and lets the rest of the majority follow. */
  #changePrimary (excludedIndex: number): void {
    const quorum = this.#instances.filter((_i, n) => n !== excludedIndex)
    const term = Math.max(...this.#instances.map(i => i.term)) + 1
    const newPrimary = quorum.toSorted((a, b) => comparePositions(readStatus(b).logged, readStatus(a).logged))[0]!
    for (const i of quorum) {
      i.term = term
      i.role = i === newPrimary ? 'primary' : 'replica'
    }
    newPrimary.applied = newPrimary.log.length
  }

  #probe (vm: Vm, instance: Instance): void {
    vm.views.set(instance.name, { status: readStatus(instance), probedAtMs: this.#nowMs })
    vm.history = recordBaseline(vm.history, this.#listViews(vm))
    const primary = this.#findPrimary()
    const oldPrimary = this.#instances.find(i => i.role === 'primary' && i.term < primary.term)
    if (oldPrimary === undefined || instance !== oldPrimary) return
    oldPrimary.term = primary.term
    oldPrimary.role = 'replica'
  }

  #listViews (vm: Vm): InstanceView[] {
    return INSTANCE_NAMES.map(endpoint => {
      const view = vm.views.get(endpoint)
      return {
        endpoint: { endpoint, host: '', port: 1, failureDomain: 'fd', region: 'r', maxConnections: 20, slots: 3 },
        status: view?.status ?? null,
        probedAtMs: view?.probedAtMs ?? 0,
        isReachable: view !== undefined
      }
    })
  }

  #read (session: Session, vm: Vm, maxAgeMs: number): void {
    const instances = this.#listViews(vm)
    const primary = instances.filter(i => i.status?.role === 'primary').sort((a, b) => b.status!.term - a.status!.term)[0]
    const isStale = maxAgeMs > 0
    const required = isStale ? null : session.position
    const target = this.#select({
      instances,
      primary: primary?.endpoint.endpoint,
      requirement: { required, maxAgeMs },
      history: vm.history,
      nowMs: this.#nowMs,
      failureDomain: 'fd',
      countOutstanding: () => 0,
      excluded: new Set()
    })
    if (target.kind === 'none') return
    const instance = this.#instances.find(i => i.name === target.endpoint)!
    const status = readStatus(instance)
    const isConfirmed = target.isPrimary ? isLastAppliedOfCurrentTerm(status) && (status.applied.index === 0 || this.#isDurable(status.applied)) : isReplicaOfCurrentTerm(status)
    if (this.#hasReadConfirmation && !isConfirmed) return
    this.servedReads++
    if (!target.isPrimary) this.readsServedByReplica++
    this.#checkRead(session, instance, isStale ? maxAgeMs : null)
    if (isStale) return
    for (const e of instance.log.slice(0, instance.applied)) session.seenIds.add(e.id)
    session.position = pickLaterPosition(session.position, status.applied)
  }

  #checkRead (session: Session, instance: Instance, maxAgeMs: number | null): void {
    const visibleIds = new Set(instance.log.slice(0, instance.applied).map(e => e.id))
    if (maxAgeMs !== null) {
      for (const e of this.#acknowledged) if (e.atMs <= this.#nowMs - maxAgeMs) expect(visibleIds.has(e.id), 'older than allowed').to.equal(true)
      return
    }
    for (const id of session.writtenIds) expect(visibleIds.has(id), 'own write is missing').to.equal(true)
    for (const id of session.seenIds) expect(visibleIds.has(id), 'went back in time').to.equal(true)
  }
}

function runSimulations (select: Selector, hasReadConfirmation = true): { served: number, fromReplicas: number } {
  const totals = { served: 0, fromReplicas: 0 }
  fc.assert(fc.property(fc.array(actionArbitrary, { minLength: 20, maxLength: 120 }), actions => {
    const simulatedGroup = new SimulatedGroup(select, hasReadConfirmation)
    for (const a of actions) simulatedGroup.applyAction(a)
    simulatedGroup.checkAfterRecovery()
    totals.served += simulatedGroup.servedReads
    totals.fromReplicas += simulatedGroup.readsServedByReplica
  }), { numRuns: 2_000, seed: 23, includeErrorInReport: true })
  return totals
}

describe('read routing', () => {
  it('the selection keeps read-your-writes, monotonic reads and the accepted age over 2,000 interleavings with lag, failover and sessions that change VMs', () => {
    const { served, fromReplicas } = runSimulations(selectReadTarget)
    expect(fromReplicas).to.be.greaterThan(served / 4)
  })

  it('the checks fail for a selection of any replica, and for reads that are not confirmed by the instance afterwards', () => {
    const takeAny: Selector = options => selectReadTarget({ ...options, requirement: { required: zeroPosition, maxAgeMs: 0 } })
    expect(() => runSimulations(takeAny)).to.throw(/own write is missing|went back in time|older than allowed/)
    expect(() => runSimulations(selectReadTarget, false)).to.throw('no instance will ever hold what the session saw')
  })

  it('the baseline includes every entry that a majority of the instances holds', () => {
    const log: Entry[] = [{ term: 1, id: 1, atMs: 0 }, { term: 1, id: 2, atMs: 0 }]
    const make = (name: string, length: number, probedAtMs: number): InstanceView => ({
      endpoint: { endpoint: name, host: '', port: 1, failureDomain: 'fd', region: 'r', maxConnections: 20, slots: 3 },
      status: readStatus({ name, term: 1, role: 'replica', log: log.slice(0, length), applied: 0 }),
      probedAtMs,
      isReachable: true
    })
    expect(computeBaseline([make('a', 1, 5), make('b', 2, 7), make('c', 0, 1)])).to.deep.equal({ atMs: 5, position: { term: 1, index: 2 } })
    expect(hasReached({ term: 1, index: 1 }, [[1, 1]], { term: 1, index: 2 })).to.equal(false)
  })
})
