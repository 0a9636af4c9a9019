import type { EndpointConnection } from '../pool/endpoint-connection.ts'
import type { Acquisition } from '../pool/instance-pool.ts'
import { isLastPart, type ResultPart } from '../pool/result-part-queue.ts'
import { computeTimeLeftMs, type AcceptedRequest, type ServingContext } from './serving-context.ts'

const MIN_TIMEOUT_MS = 1

/** A connection granted by a pool, with the function that gives it back. */
export type ConnectionLease = Extract<Acquisition, { granted: true }>

/** Waits for a connection to the endpoint until the request's deadline or its cancellation; refused when the endpoint has left the group. */
export async function acquireLease (context: ServingContext, request: AcceptedRequest, endpoint: string, isPinned: boolean): Promise<Acquisition> {
  const { workspace, deadlineMs } = request
  const pool = context.pools.findPool(endpoint)
  if (pool === undefined) return { granted: false, reason: 'endpoint has left', retryAfterMs: 0, isOverload: false }
  const { cancellation } = request
  const { acquisition, cancel } = pool.acquire({ workspace, isPinned, deadlineMs })
  cancellation.cancelCurrentStep = cancel
  if (cancellation.isCancelled) cancel()
  const outcome = await acquisition
  cancellation.cancelCurrentStep = null
  return outcome
}

/**
 * Runs a statement and yields the parts of its response. The connection is closed when the request is
 * cancelled, reaches its deadline, or the statement has run for `maxDurationMs`.
 *
 * @throws ConnectionLostError when the connection ends before the response is complete, as after a cancellation
 * @throws StatementTimeoutError when the response is not complete at the deadline or after `maxDurationMs`
 */
export async function * runCancellable (context: ServingContext, request: AcceptedRequest, connection: EndpointConnection, text: string, maxDurationMs = Infinity): AsyncGenerator<ResultPart, void, void> {
  const { cancellation } = request
  const timeoutMs = Math.max(MIN_TIMEOUT_MS, Math.min(maxDurationMs, computeTimeLeftMs(context, request)))
  cancellation.cancelCurrentStep = () => connection.close()
  try {
    for await (const part of connection.runStatement(text, timeoutMs)) {
      if (isLastPart(part)) cancellation.cancelCurrentStep = null
      yield part
    }
  } finally {
    cancellation.cancelCurrentStep = null
  }
}

/**
 * Runs the request's statement outside a transaction, and releases the connection before it yields the
 * last part. A connection with an interrupted statement or an open transaction is closed.
 *
 * @throws ConnectionLostError when the connection ends before the response is complete, as after a cancellation
 * @throws StatementTimeoutError when the response is not complete at the request's deadline
 */
export async function * runOnConnection (context: ServingContext, request: AcceptedRequest, lease: ConnectionLease): AsyncGenerator<ResultPart, void, void> {
  const { connection, release } = lease
  try {
    let heldPart: ResultPart | undefined
    for await (const part of runCancellable(context, request, connection, request.text)) {
      if (heldPart !== undefined) yield heldPart
      heldPart = part
    }
    release(connection.isReusable() && !connection.isInTransaction())
    if (heldPart !== undefined) yield heldPart
  } finally {
    release(connection.isReusable() && !connection.isInTransaction())
  }
}
