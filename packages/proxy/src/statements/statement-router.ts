import type { AnswerFrame, Clock, Logger, StatementRequest } from '@camphorpitch/wire'
import type { PlacementView } from '../membership/placement-view.ts'
import type { FindService } from './database-service.ts'
import { StreamLostError, StreamNotStartedError } from './errors.ts'
import type { RemoteStatements } from './remote-statements.ts'

/** Serving VMs that one statement may be offered to. */
const MAX_VM_ATTEMPTS = 3
/** When a caller should come back after no VM could serve its database. */
const NO_SERVING_VM_RETRY_AFTER_MS = 500

export interface StatementRouterOptions {
  self: string
  clock: Clock
  logger: Logger
  placement: PlacementView
  remote: RemoteStatements
  findService: FindService
}

/** An answer's frames, and the VM that gives them. */
export interface RoutedFrame {
  vm: string
  frame: AnswerFrame
}

export interface StatementRouter {
  /** Runs a statement on a VM that serves its database; `pinnedVm` holds its transaction. */
  run: (request: StatementRequest, pinnedVm: string | null) => AsyncGenerator<RoutedFrame, void, void>
  abandon: (vm: string, database: string, transactionId: string) => void
}

/** Creates the part of an entry VM that hands statements to serving VMs. */
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
      if (outcome === 'answered') return
    }
    yield { vm: self, frame: createNoServingVmRefusal(request) }
  }
}

type AttemptOutcome = 'answered' | 'not run'

async function * runAttempt (options: StatementRouterOptions, vm: string, request: StatementRequest): AsyncGenerator<RoutedFrame, AttemptOutcome, void> {
  let hasResponded = false
  try {
    for await (const frame of runOnVm(options, vm, request)) {
      if (frame.kind === 'notServing') return 'not run'
      hasResponded = true
      yield { vm, frame }
    }
    return 'answered'
  } catch (error) {
    if (error instanceof StreamNotStartedError) return 'not run'
    if (!(error instanceof StreamLostError)) throw error
    options.logger.info('serving VM lost', { request: request.requestId, vm, answered: hasResponded })
    if (!hasResponded && canRetry(request)) return 'not run'
    yield { vm, frame: createLinkLossRefusal(request) }
    return 'answered'
  }
}

function runOnVm (options: StatementRouterOptions, vm: string, request: StatementRequest): AsyncGenerator<AnswerFrame, void, void> {
  if (vm !== options.self) return options.remote.run(vm, request)
  const service = options.findService(request.database, request.transactionId)
  return service === undefined ? respondNotServing() : service.run(request)
}

async function * respondNotServing (): AsyncGenerator<AnswerFrame, void, void> {
  yield { kind: 'notServing' }
}

/** Reads have no effect, a named write is recorded with its effect, and a begin leaves nothing that outlives its VM. */
function canRetry (request: StatementRequest): boolean {
  if (request.transactionId !== null) return false
  return request.class === 'read' || request.class === 'begin' || request.writeId !== null
}

function createLinkLossRefusal (request: StatementRequest): AnswerFrame {
  const isInTransaction = request.transactionId !== null && request.class !== 'commit'
  if (isInTransaction) return { kind: 'refused', refusal: { kind: 'transactionLost', reason: 'the VM that held the transaction was lost' } }
  return { kind: 'refused', refusal: { kind: 'outcomeUnknown', reason: 'the serving VM was lost before its answer was whole' } }
}

function createNoServingVmRefusal (request: StatementRequest): AnswerFrame {
  if (request.transactionId !== null) return { kind: 'refused', refusal: { kind: 'transactionLost', reason: 'the VM that held the transaction no longer serves it' } }
  return { kind: 'refused', refusal: { kind: 'notRunRetry', reason: 'no VM serves the database now', retryAfterMs: NO_SERVING_VM_RETRY_AFTER_MS } }
}
