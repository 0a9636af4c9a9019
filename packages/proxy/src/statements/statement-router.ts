import type { ResponseFrame, Clock, Logger, StatementRequest } from '@camphorpitch/wire'
import type { PlacementView } from '../membership/placement-view.ts'
import type { FindService } from './database-service.ts'
import { StreamLostError, StreamNotStartedError } from './errors.ts'
import type { RemoteStatements } from './remote-statements.ts'

/** Maximum number of serving VMs that are tried for one statement. */
const MAX_VM_ATTEMPTS = 3
/** Delay after which a client should retry when no VM could serve its database. */
const NO_SERVING_VM_RETRY_AFTER_MS = 500

export interface StatementRouterOptions {
  /** Name of this VM. */
  self: string
  clock: Clock
  logger: Logger
  placement: PlacementView
  remote: RemoteStatements
  findService: FindService
}

/** One frame of a response, and the VM that sent it. */
export interface RoutedFrame {
  vm: string
  frame: ResponseFrame
}

export interface StatementRouter {
  /**
   * Runs a statement on a VM that serves its database, or only on `pinnedVm`, which holds its transaction.
   * A failure to reach or keep a serving VM is yielded as a refusal, not thrown.
   */
  run: (request: StatementRequest, pinnedVm: string | null) => AsyncGenerator<RoutedFrame, void, void>
  /** Rolls back a transaction on the VM that holds it; there is no response. */
  abandon: (vm: string, database: string, transactionId: string) => void
}

/** Creates the router with which an entry VM sends statements to serving VMs, itself included. */
export function createStatementRouter (options: StatementRouterOptions): StatementRouter {
  const { self, placement, remote, findService } = options
  return {
    run: (request, pinnedVm) => runOnCandidates(options, request, pinnedVm),
    abandon: (vm, database, transactionId) => {
      if (vm === self) findService(database, transactionId)?.abandon(transactionId)
      else remote.abandon(vm, database, transactionId)
    }
  }

  async function * runOnCandidates (routerOptions: StatementRouterOptions, request: StatementRequest, pinnedVm: string | null): AsyncGenerator<RoutedFrame, void, void> {
    const candidates = pinnedVm === null ? placement.listServingVms(request.database).slice(0, MAX_VM_ATTEMPTS) : [pinnedVm]
    const deadlineMs = routerOptions.clock.readNow() + request.timeoutMs
    for (const vm of candidates) {
      const timeoutMs = deadlineMs - routerOptions.clock.readNow()
      if (timeoutMs <= 0) break
      routerOptions.logger.debug('statement routed to VM', { request: request.requestId, workspace: request.workspace, database: request.database, vm, reason: pinnedVm === null ? 'placement' : 'transaction' })
      const outcome = yield * runAttempt(routerOptions, vm, { ...request, timeoutMs })
      if (outcome === 'responded') return
    }
    yield { vm: self, frame: createNoServingVmRefusal(request) }
  }
}

/** How one attempt ended: `responded` when the response or a refusal was yielded, `not run` when the next VM may be tried. */
type AttemptOutcome = 'responded' | 'not run'

async function * runAttempt (options: StatementRouterOptions, vm: string, request: StatementRequest): AsyncGenerator<RoutedFrame, AttemptOutcome, void> {
  let hasResponded = false
  try {
    for await (const frame of runOnVm(options, vm, request)) {
      if (frame.kind === 'notServing') return 'not run'
      hasResponded = true
      yield { vm, frame }
    }
    return 'responded'
  } catch (error) {
    if (error instanceof StreamNotStartedError) return 'not run'
    if (!(error instanceof StreamLostError)) throw error
    options.logger.info('link to serving VM lost during statement', { request: request.requestId, vm, hasResponded })
    if (!hasResponded && canRetry(request)) return 'not run'
    yield { vm, frame: createLinkLossRefusal(request) }
    return 'responded'
  }
}

function runOnVm (options: StatementRouterOptions, vm: string, request: StatementRequest): AsyncGenerator<ResponseFrame, void, void> {
  if (vm !== options.self) return options.remote.run(vm, request)
  const service = options.findService(request.database, request.transactionId)
  return service === undefined ? respondNotServing() : service.run(request)
}

async function * respondNotServing (): AsyncGenerator<ResponseFrame, void, void> {
  yield { kind: 'notServing' }
}

/**
 * Whether a request whose VM was lost may run again on another VM. A read has no effect, a write with a
 * `writeId` is recorded together with its effect, so that a second run is recognized, and a begin leaves
 * nothing that outlives its VM.
 */
function canRetry (request: StatementRequest): boolean {
  if (request.transactionId !== null) return false
  return request.class === 'read' || request.class === 'begin' || request.writeId !== null
}

function createLinkLossRefusal (request: StatementRequest): ResponseFrame {
  const isInTransaction = request.transactionId !== null && request.class !== 'commit'
  if (isInTransaction) return { kind: 'refused', refusal: { kind: 'transactionLost', reason: 'the VM that held the transaction was lost' } }
  return { kind: 'refused', refusal: { kind: 'outcomeUnknown', reason: 'the serving VM was lost before its answer was whole' } }
}

function createNoServingVmRefusal (request: StatementRequest): ResponseFrame {
  if (request.transactionId !== null) return { kind: 'refused', refusal: { kind: 'transactionLost', reason: 'the VM that held the transaction no longer serves it' } }
  return { kind: 'refused', refusal: { kind: 'notRunRetry', reason: 'no VM serves the database now', retryAfterMs: NO_SERVING_VM_RETRY_AFTER_MS } }
}
