import { type Clock, type Logger, type ObjectClient, type PeerNetwork, type SliceActor, spawnSlice, type Vm } from '@camphorpitch/wire'
import type { ActorSystemRef } from 'nact'
import { decideMembership, TICK_INTERVAL_MS } from './decision.ts'
import { MembershipView, type Member } from './membership-view.ts'
import { membershipMessageSchema, type MembershipInput } from './messages.ts'
import { createMembershipState, listLiveMembers, type MembershipEffect, type MembershipState } from './state.ts'

const SLICE = 'membership'
/** Time for peers to learn that this VM leaves. */
const LEAVE_PROPAGATION_MS = 4 * TICK_INTERVAL_MS
/** Longest time to wait for another member's view at start. */
const JOIN_TIMEOUT_MS = 5_000
const JOIN_CHECK_INTERVAL_MS = 20

export interface MembershipOptions {
  system: ActorSystemRef
  clock: Clock
  logger: Logger
  peers: PeerNetwork
  objectClient: Pick<ObjectClient, 'listVms'>
  /** This VM, with the address at which peers reach it; `incarnation` as in its hello. */
  self: Omit<Member, 'state'>
  /** Seed of the choice of members to probe and to gossip with. */
  seed: number
}

/** Membership of a running VM. */
export abstract class RunningMembership extends MembershipView {
  /** Announces that this VM accepts no new work. Resolves after the time that peers need to learn of it. */
  abstract leave (): Promise<void>
  /** Resolves once another member's view was received, the platform lists no other VM, or a timeout has passed. Never rejects. */
  abstract waitUntilJoined (): Promise<void>
  abstract stop (): void
}

/**
 * Joins the fleet and keeps the view of its members.
 *
 * Once one listed VM has sent its view, this VM's view is as complete as that one; only the results of local
 * probes are missing.
 *
 * @example const membership = startMembership({ system, clock, logger, peers, objectClient, self, seed: 1 })
 */
export function startMembership (options: MembershipOptions): RunningMembership {
  return new ActorMembership(options)
}

class ActorMembership extends RunningMembership {
  readonly #options: MembershipOptions
  readonly #slice: SliceActor<MembershipState, MembershipInput>
  readonly #listeners: Array<() => void> = []
  readonly #timer: NodeJS.Timeout
  /** Result of `listMembers` since the last change; `null` when the members must be listed again. */
  #members: readonly Member[] | null = null
  #membersByVm: Map<string, Member> | null = null
  #isTickPending = false
  #isPolling = false
  /** Whether the platform lists no other VM. */
  #isOnlyListedVm = false

  constructor (options: MembershipOptions) {
    super()
    this.#options = options
    const { system, clock, logger, peers, self, seed } = options
    this.#slice = spawnSlice({
      system,
      name: SLICE,
      clock,
      logger,
      initialState: createMembershipState({ self, seed }),
      decide: (state: MembershipState, input: MembershipInput, nowMs: number) => this.#decide(state, input, nowMs),
      runEffect: effect => this.#runEffect(effect)
    })
    peers.subscribe(SLICE, (from, body) => this.#handleMessage(from.vm, body))
    peers.subscribeLinkLoss(vm => this.#slice.tell({ type: 'linkLost', vm }))
    this.#timer = setInterval(() => this.#tellTick(), TICK_INTERVAL_MS)
    this.#tellTick()
  }

  override listMembers (): readonly Member[] {
    this.#members ??= listLiveMembers(this.#slice.readState())
    return this.#members
  }

  override findMember (vm: string): Member | undefined {
    this.#membersByVm ??= new Map(this.listMembers().map(m => [m.vm, m]))
    return this.#membersByVm.get(vm)
  }

  override subscribe (listener: () => void): void {
    this.#listeners.push(listener)
  }

  override async leave (): Promise<void> {
    this.#slice.tell({ type: 'leave' })
    if (this.listMembers().length === 1) return
    await new Promise(resolve => setTimeout(resolve, LEAVE_PROPAGATION_MS))
  }

  override async waitUntilJoined (): Promise<void> {
    const { clock, logger, self } = this.#options
    const deadlineMs = clock.readNow() + JOIN_TIMEOUT_MS
    while (!this.#slice.readState().hasSynced && !this.#isOnlyListedVm) {
      if (clock.readNow() > deadlineMs) {
        logger.warn('join timed out without a view from another member', { vm: self.vm })
        return
      }
      await new Promise(resolve => setTimeout(resolve, JOIN_CHECK_INTERVAL_MS))
    }
  }

  override stop (): void {
    clearInterval(this.#timer)
    this.#slice.stop()
  }

  /** Queues at most one tick, so that a busy process does not handle a backlog of ticks as if their intervals had passed. */
  #tellTick (): void {
    if (this.#isTickPending) return
    this.#isTickPending = true
    this.#slice.tell({ type: 'tick' })
  }

  #decide (state: MembershipState, input: MembershipInput, nowMs: number): ReturnType<typeof decideMembership> {
    if (input.type === 'tick') this.#isTickPending = false
    return decideMembership(state, input, nowMs)
  }

  #handleMessage (from: string, body: unknown): void {
    const message = membershipMessageSchema.safeParse(body)
    if (message.success) this.#slice.tell({ type: 'received', from, body: message.data })
    else this.#options.logger.warn('malformed membership message ignored', { from })
  }

  #runEffect (effect: MembershipEffect): void {
    switch (effect.type) {
      case 'send':
        this.#send(effect)
        break
      case 'poll':
        this.#pollVmList().catch((error: unknown) => this.#options.logger.error('VM list not applied', { error: String(error) }))
        break
      case 'changed':
        this.#recordChange(effect.member, effect.reason)
        break
      case 'publish':
        for (const listener of this.#listeners) listener()
    }
  }

  /** Sends by name to the members that `findMember` returns, and by address to VMs that are dead or unknown. */
  #send ({ to, body }: Extract<MembershipEffect, { type: 'send' }>): void {
    const { peers } = this.#options
    if (this.findMember(to.vm) === undefined) peers.sendTo(to.host, to.peerPort, SLICE, body)
    else peers.send(to.vm, SLICE, body)
  }

  #recordChange (member: Member, reason: string): void {
    this.#members = null
    this.#membersByVm = null
    const { vm, state, incarnation } = member
    this.#options.logger.info('member changed', { vm, state, incarnation, reason })
  }

  async #pollVmList (): Promise<void> {
    if (this.#isPolling) return
    this.#isPolling = true
    const vms = await this.#fetchVmList()
    this.#isPolling = false
    if (vms === null) return
    this.#isOnlyListedVm = vms.every(v => v.vm === this.#options.self.vm)
    this.#slice.tell({ type: 'listed', vms })
  }

  async #fetchVmList (): Promise<Vm[] | null> {
    try {
      return (await this.#options.objectClient.listVms()).vms
    } catch (error) {
      this.#options.logger.warn('VM list request failed', { error: String(error) })
      return null
    }
  }
}
