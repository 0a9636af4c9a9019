import { type Contract, createLogger, type Hello, type Logger, MonotonicClock, ObjectClient, PEER_PROTOCOL_VERSION, WsPeerNetwork } from '@camphorpitch/wire'
import { startPlatform, type RunningPlatform } from '@camphorpitch/standins'
import { expect } from 'chai'
import { start, stop } from 'nact'
import { ConfigurationView } from '../configuration/configuration-view.ts'
import { MembershipView, type Member } from '../membership/membership-view.ts'
import type { Admission } from './limiter.ts'
import { findCountingStartMs } from './ownership.ts'
import { startLimiter, type RunningLimiter } from './start-limiter.ts'

const VM_COUNT = 3
/** 64 partitions with 3 shares each. */
const SHARE_TOTAL = 192
const contract: Contract = {
  workspace: 'brasswind',
  rate: { statementsPerSecond: 20, burst: 30 },
  open: false,
  databases: {},
  statementTimeoutMs: 10_000,
  maxConnectionsPerVm: 10
}

/** Holds one contract and no owners object, so that the limiters learn of owners from the object service and each other. */
class FixedConfiguration extends ConfigurationView {
  override findContract (workspace: string): Contract | undefined { return workspace === contract.workspace ? contract : undefined }
  override findKeyRing (): undefined {}
  override findDatabase (): undefined {}
  override findFleetSecret (): undefined {}
  override findLimitOwners (): undefined {}
  override listContracts (): Contract[] { return [contract] }
  override listDatabases (): [] { return [] }
  override readRevision (): number { return 1 }
  override subscribe (): void {}
}

class FixedMembership extends MembershipView {
  readonly members: Member[] = []
  readonly listeners: Array<() => void> = []
  override listMembers (): readonly Member[] { return this.members }
  override findMember (vm: string): Member | undefined { return this.members.find(m => m.vm === vm) }
  override subscribe (listener: () => void): void { this.listeners.push(listener) }
}

interface TestVm {
  limiter: RunningLimiter
  peers: WsPeerNetwork
  stop: () => Promise<void>
}

async function startVm (index: number, membership: FixedMembership, platform: RunningPlatform, logger: Logger): Promise<TestVm> {
  const clock = new MonotonicClock()
  const hello: Hello = { version: PEER_PROTOCOL_VERSION, vm: `vm-${index}`, incarnation: 1, failureDomain: `domain-${index}` }
  const peers = new WsPeerNetwork({
    self: hello,
    clock,
    logger,
    findAddress: vm => {
      const member = membership.findMember(vm)
      return member === undefined ? undefined : { host: member.host, port: member.peerPort }
    }
  })
  const peerPort = await peers.listen('127.0.0.1', 0)
  membership.members.push({ vm: hello.vm, host: '127.0.0.1', peerPort, failureDomain: hello.failureDomain, region: 'default', incarnation: 1, state: 'live' })
  const system = start()
  const limiter = startLimiter({
    system, clock, logger, peers, membership, configuration: new FixedConfiguration(), objectClient: new ObjectClient({ url: platform.url }), self: hello
  })
  return {
    limiter,
    peers,
    stop: async () => {
      stop(system)
      await peers.stop()
    }
  }
}

function countCountedShares (vms: readonly TestVm[], clock: MonotonicClock): number {
  const nowMs = clock.readNow()
  const count = ({ limiter }: TestVm): number => {
    const { ownership } = limiter.readState()
    return [...ownership.localShares.keys()].filter(name => findCountingStartMs(ownership, name, nowMs) !== undefined).length
  }
  return vms.reduce((sum, vm) => sum + count(vm), 0)
}

/** Repeats the request after each refusal's `retryAfterMs` until it is admitted. */
async function waitUntilAdmitted (limiter: RunningLimiter): Promise<void> {
  for (;;) {
    const admission = await limiter.admit(contract.workspace, 1_000)
    if (admission.admitted) return
    await new Promise(resolve => setTimeout(resolve, admission.retryAfterMs))
  }
}

async function waitUntil (isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setTimeout(resolve, 20))
}

describe('startLimiter', () => {
  it('counts over real connections, refuses what exceeds rate and burst, and hands its shares over when it stops', async () => {
    const clock = new MonotonicClock()
    const platform = await startPlatform({ port: 0, controlPort: 0 })
    const membership = new FixedMembership()
    const logger = createLogger({ process: 'test', level: 'silent' })
    const vms: TestVm[] = []
    for (let i = 0; i < VM_COUNT; i++) vms.push(await startVm(i, membership, platform, logger))
    for (const listener of membership.listeners) listener()
    await waitUntil(() => countCountedShares(vms, clock) === SHARE_TOTAL)

    await waitUntilAdmitted(vms[0]!.limiter)
    const startedAtMs = clock.readNow()
    const requests = Array.from({ length: 240 }, async (_, i) => await vms[i % VM_COUNT]!.limiter.admit(contract.workspace, 1_000))
    const admissions: Admission[] = await Promise.all(requests)
    const elapsedMs = clock.readNow() - startedAtMs
    const admitted = admissions.filter(a => a.admitted).length
    expect(admitted).to.be.at.most(contract.rate.burst + contract.rate.statementsPerSecond * elapsedMs / 1000)
    for (const a of admissions) if (!a.admitted) expect(a.retryAfterMs).to.be.above(0)
    expect(await vms[0]!.limiter.admit('unknown', 1_000)).to.include({ admitted: false, reason: 'no contract' })

    await vms[0]!.limiter.stop()
    await waitUntil(() => countCountedShares(vms.slice(1), clock) === SHARE_TOTAL)
    for (const vm of vms) await vm.stop()
    await platform.close()
  })
})
