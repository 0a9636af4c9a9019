import { type Clock, ConflictError, type LimitOwners, limitOwnersSchema, type Logger, type ObjectClient, type PeerNetwork, PlatformError, type SliceActor, spawnSlice, type StoredObject, UnknownOutcomeError } from '@camphorpitch/wire'
import type { ActorSystemRef } from 'nact'
import type { ConfigurationView } from '../configuration/configuration-view.ts'
import type { MembershipView } from '../membership/membership-view.ts'
import type { WriteResult } from './assignment.ts'
import { createLimitState, decideLimits, type LimitInput, type LimitState } from './decide-limits.ts'
import type { LimitEffect, VmProcess } from './effects.ts'
import { Limiter, type Admission } from './limiter.ts'
import { limitMessageSchema, type VersionedOwners } from './messages.ts'

const SLICE = 'limits'
const OWNERS_KIND = 'limit-owners'
const OWNERS_NAME = 'owners'
/** Longest time that a planned stop waits for this VM's shares to be taken over. */
const STOP_TIMEOUT_MS = 3_000

export interface LimiterOptions {
  system: ActorSystemRef
  clock: Clock
  logger: Logger
  peers: PeerNetwork
  membership: MembershipView
  configuration: ConfigurationView
  objectClient: Pick<ObjectClient, 'findObject' | 'writeObject' | 'listVms'>
  self: { vm: string, incarnation: number, failureDomain: string }
}

/** A running limiter; `readState` exposes its state for monitoring and tests. */
export abstract class RunningLimiter extends Limiter {
  abstract readState (): LimitState
  /**
   * Hands this VM's shares over. Resolves when that is done or has timed out.
   *
   * Requests are still decided meanwhile; those still waiting at the end are refused.
   */
  abstract stop (): Promise<void>
}

/**
 * Starts the limits slice: this VM counts requests together with the other VMs, owns shares and acts as a witness.
 *
 * @example
 * const limiter = startLimiter({ system, clock, logger, peers, membership, configuration, objectClient, self })
 * const admission = await limiter.admit('fjordlakk', 1_000)
 */
export function startLimiter (options: LimiterOptions): RunningLimiter {
  return new FleetLimiter(options)
}

class FleetLimiter extends RunningLimiter {
  readonly #options: LimiterOptions
  readonly #self: VmProcess
  readonly #actor: SliceActor<LimitState, LimitInput>
  readonly #requests = new Map<number, (admission: Admission) => void>()
  #nextRequestId = 1
  #timer: NodeJS.Timeout | undefined
  #onStopped: (() => void) | undefined

  constructor (options: LimiterOptions) {
    super()
    const { system, clock, logger, self } = options
    this.#options = options
    this.#self = { vm: self.vm, incarnation: self.incarnation }
    this.#actor = spawnSlice<LimitState, LimitInput, LimitEffect>({
      system,
      name: `limits-${self.vm}`,
      clock,
      logger,
      initialState: createLimitState(this.#self, clock.readNow()),
      decide: decideLimits,
      runEffect: effect => this.#runEffect(effect)
    })
    this.#subscribe()
    this.#actor.tell({ type: 'tick' })
  }

  override async admit (workspace: string, timeoutMs: number): Promise<Admission> {
    const requestId = this.#nextRequestId++
    return await new Promise(resolve => {
      this.#requests.set(requestId, resolve)
      this.#actor.tell({ type: 'admit', requestId, workspace, timeoutMs })
    })
  }

  override readState (): LimitState {
    return this.#actor.readState()
  }

  override async stop (): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, STOP_TIMEOUT_MS)
      this.#onStopped = () => {
        clearTimeout(timer)
        resolve()
      }
      this.#actor.tell({ type: 'stop' })
    })
    clearTimeout(this.#timer)
    this.#actor.stop()
    const refusal: Admission = { admitted: false, retryAfterMs: 0, reason: 'stopping' }
    for (const resolve of this.#requests.values()) resolve(refusal)
    this.#requests.clear()
  }

  #subscribe (): void {
    const { peers, membership, configuration } = this.#options
    peers.subscribe(SLICE, (from, body) => {
      const message = limitMessageSchema.safeParse(body)
      if (message.success) this.#actor.tell({ type: 'peer', from: { vm: from.vm, incarnation: from.incarnation }, body: message.data })
    })
    const sendMembers = (): void => this.#actor.tell({ type: 'members', members: [...membership.listMembers()] })
    membership.subscribe(sendMembers)
    sendMembers()
    configuration.subscribe((kind, name) => {
      if (kind === 'contract') this.#sendRate(name)
      if (kind === OWNERS_KIND) this.#sendOwners()
    })
    for (const { workspace } of configuration.listContracts()) this.#sendRate(workspace)
    this.#sendOwners()
  }

  #sendRate (workspace: string): void {
    const rate = this.#options.configuration.findContract(workspace)?.rate ?? null
    this.#actor.tell({ type: 'rate', workspace, rate })
  }

  #sendOwners (): void {
    const owners = this.#options.configuration.findLimitOwners()
    if (owners !== undefined) this.#actor.tell({ type: 'owners', owners })
  }

  #runEffect (effect: LimitEffect): void {
    switch (effect.type) {
      case 'resolve': return this.#resolveRequest(effect.requestId, effect.admission)
      case 'send': return this.#send(effect.vm, effect)
      case 'wake': return this.#scheduleTick(effect.atMs)
      case 'read-owners': this.#readOwners().catch(this.#logUnexpected)
        break
      case 'list-vms': this.#listVms().catch(this.#logUnexpected)
        break
      case 'write-owners': this.#writeOwners(effect.version, effect.value).catch(this.#logUnexpected)
        break
      case 'log': this.#options.logger.info(effect.message, effect.fields)
        break
      case 'stopped': this.#onStopped?.()
    }
  }

  readonly #logUnexpected = (error: unknown): void => {
    this.#options.logger.error('limits effect failed', { error: String(error) })
  }

  #resolveRequest (requestId: number, admission: Admission): void {
    const resolve = this.#requests.get(requestId)
    this.#requests.delete(requestId)
    this.#options.logger.debug('admission decided', { requestId, ...admission })
    resolve?.(admission)
  }

  #send (vm: string, { body }: Extract<LimitEffect, { type: 'send' }>): void {
    if (vm === this.#self.vm) this.#actor.tell({ type: 'peer', from: this.#self, body })
    else this.#options.peers.send(vm, SLICE, body)
  }

  #scheduleTick (atMs: number): void {
    clearTimeout(this.#timer)
    const delayMs = Math.max(0, Math.ceil(atMs - this.#options.clock.readNow()))
    this.#timer = setTimeout(() => this.#actor.tell({ type: 'tick' }), delayMs)
  }

  async #readOwners (): Promise<void> {
    try {
      const stored = await this.#options.objectClient.findObject(OWNERS_KIND, OWNERS_NAME)
      this.#actor.tell({ type: 'owners-read', owners: stored === null ? null : parseOwners(stored) })
    } catch (error) {
      this.#options.logger.debug('reading limit owners failed', { error: String(error) })
      this.#actor.tell({ type: 'read-failed' })
    }
  }

  async #listVms (): Promise<void> {
    try {
      const { vms } = await this.#options.objectClient.listVms()
      this.#actor.tell({ type: 'listed', vms: vms.map(v => v.vm) })
    } catch (error) {
      this.#options.logger.debug('listing VMs for limits failed', { error: String(error) })
    }
  }

  async #writeOwners (version: number, value: LimitOwners): Promise<void> {
    this.#actor.tell({ type: 'write-result', result: await this.#attemptWrite(version, value) })
  }

  async #attemptWrite (version: number, value: LimitOwners): Promise<WriteResult> {
    try {
      const stored = await this.#options.objectClient.writeObject(OWNERS_KIND, OWNERS_NAME, version, value)
      return { outcome: 'written', owners: parseOwners(stored) }
    } catch (error) {
      this.#options.logger.warn('writing limit owners failed', { version, error: String(error) })
      if (error instanceof ConflictError) return { outcome: 'conflict' }
      const isUnchanged = error instanceof PlatformError && !(error instanceof UnknownOutcomeError)
      return { outcome: isUnchanged ? 'failed' : 'unknown' }
    }
  }
}

/** @throws ZodError when the stored value is not a `LimitOwners` */
function parseOwners (stored: StoredObject): VersionedOwners {
  return { version: stored.version, value: limitOwnersSchema.parse(stored.value) }
}
