import { type Clock, ExpiredRevisionError, type Logger, type ObjectClient, type PeerNetwork, spawnSlice, type StoredObject } from '@camphorpitch/wire'
import type { ActorSystemRef } from 'nact'
import type { MembershipView } from '../membership/membership-view.ts'
import { Configuration } from './configuration.ts'
import { computeAgeMs, isCurrent } from './staleness.ts'
import { decideConfiguration } from './decide-configuration.ts'
import { configurationPeerMessageSchema } from './messages.ts'
import { configurationKinds } from './object-values.ts'
import { createConfigurationState, TICK_INTERVAL_MS, type ConfigurationEffect, type ConfigurationMessage, type KindListing } from './state.ts'

const SLICE = 'configuration'

export interface ConfigurationOptions {
  system: ActorSystemRef
  clock: Clock
  logger: Logger
  objectClient: ObjectClient
  peers: PeerNetwork
  membership: MembershipView
  /** Seed for the random choice of peers; by default this process's incarnation. */
  seed?: number
}

type SendToActor = (message: ConfigurationMessage) => void

/**
 * Starts the configuration slice of a VM.
 *
 * @example
 * const configuration = startConfiguration({ system, clock, logger, objectClient, peers, membership })
 * await configuration.waitUntilReady()
 */
export function startConfiguration (options: ConfigurationOptions): Configuration {
  const { system, clock, logger, peers, membership, seed = peers.self.incarnation } = options
  const abort = new AbortController()
  const actor = spawnSlice<ReturnType<typeof createConfigurationState>, ConfigurationMessage, ConfigurationEffect>({
    system,
    name: SLICE,
    clock,
    logger,
    initialState: createConfigurationState({ vm: peers.self.vm, seed }),
    decide: decideConfiguration,
    runEffect: (effect, tell) => runEffect(effect, tell)
  })
  const configuration = new Configuration({
    readReport: () => {
      const state = actor.readState()
      const { objectSet: { revision }, isReady, watchers, vm } = state
      return { revision, isReady, isWatcher: watchers.has(vm), ageMs: computeAgeMs(state, clock.readNow()) }
    },
    isCurrent: () => isCurrent(actor.readState(), clock.readNow()),
    stop
  })

  const handleError = (error: unknown): void => logFailure(options, error)
  function runEffect (effect: ConfigurationEffect, tell: SendToActor): void {
    switch (effect.type) {
      case 'list':
        requestListing(options, tell).catch(handleError)
        break
      case 'watch':
        requestWatch(options, effect.since, effect.waitMs, abort.signal, tell).catch(handleError)
        break
      case 'send':
        peers.send(effect.to, SLICE, effect.body)
        break
      case 'publish':
        for (const o of effect.objects) applyObject(configuration, o, logger)
        break
      case 'log':
        logger.info(effect.message, { slice: SLICE, ...effect.fields })
    }
  }

  function stop (): void {
    clearInterval(timer)
    abort.abort()
    actor.stop()
  }

  const sendMembers = () => actor.tell({ type: 'members', members: membership.listMembers() })
  peers.subscribe(SLICE, (from, body) => {
    const message = configurationPeerMessageSchema.safeParse(body)
    if (message.success) actor.tell({ type: 'peer', from: from.vm, body: message.data })
    else logger.warn('malformed peer message', { slice: SLICE, peer: from.vm })
  })
  membership.subscribe(sendMembers)
  sendMembers()
  const timer = setInterval(() => {
    actor.tell({ type: 'tick' })
    configuration.resolveReadyWaiters()
  }, TICK_INTERVAL_MS)
  actor.tell({ type: 'tick' })
  return configuration
}

function applyObject (configuration: Configuration, object: StoredObject, logger: Logger): void {
  const { kind, name, version, revision } = object
  const problem = configuration.applyObject(object)
  if (problem === null) logger.info('configuration object applied', { slice: SLICE, kind, name, version, revision, deleted: object.value === null })
  else logger.error('invalid configuration object ignored, last valid version stays in effect', { slice: SLICE, kind, name, version, problem })
}

function logFailure ({ logger }: ConfigurationOptions, error: unknown): void {
  logger.error('request for configuration objects failed', { slice: SLICE, error: String(error) })
}

async function requestListing ({ objectClient, clock, logger }: ConfigurationOptions, tell: SendToActor): Promise<void> {
  const sentAtMs = clock.readNow()
  try {
    const listings = await Promise.all(configurationKinds.map(async (kind): Promise<KindListing> => ({ kind, ...await objectClient.listObjects(kind) })))
    tell({ type: 'listed', sentAtMs, listings })
  } catch (error) {
    logger.warn('listing configuration objects failed', { slice: SLICE, error: String(error) })
    tell({ type: 'serviceFailed', sentAtMs, isExpired: false })
  }
}

async function requestWatch ({ objectClient, clock, logger }: ConfigurationOptions, since: number, waitMs: number, signal: AbortSignal, tell: SendToActor): Promise<void> {
  const sentAtMs = clock.readNow()
  try {
    const result = await objectClient.watchObjects(configurationKinds, since, waitMs, signal)
    tell({ type: 'watched', sentAtMs, since, result })
  } catch (error) {
    if (signal.aborted) return
    logger.warn('watching configuration objects failed', { slice: SLICE, error: String(error) })
    tell({ type: 'serviceFailed', sentAtMs, isExpired: error instanceof ExpiredRevisionError })
  }
}
