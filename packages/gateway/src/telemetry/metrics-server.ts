import { createServer, type Server, type ServerResponse } from 'node:http'
import { explainedKinds, type ExplainedKind, type Logger, type StatementExplanation } from '@camphorpitch/wire'
import type { Registry } from 'prom-client'

export interface MetricsServerOptions {
  host: string
  port: number
  registry: Registry
  /** Returns the content of `/status`, which is sent as JSON. */
  readStatus: () => unknown
  /** Explains where a statement would go, for `/explain?workspace=&database=&kind=`; absent if it can't. */
  explain?: (request: ExplainRequest) => StatementExplanation | { unknown: string }
  logger: Logger
}

/** What `/explain` is asked. */
export interface ExplainRequest { workspace: string, database: string, kind: ExplainedKind }

/**
 * Serves `/metrics` in Prometheus' text format and `/status` in JSON. If it cannot listen, the error is only logged, as
 * clients can be served without it.
 */
export function startMetricsServer ({ host, port, registry, readStatus, explain, logger }: MetricsServerOptions): Server {
  const server = createServer((request, response) => {
    if (request.url === '/status') {
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(readStatus()))
      return
    }
    const [path, query = ''] = (request.url ?? '/').split('?')
    if (path === '/explain' && explain !== undefined) return sendExplanation(new URLSearchParams(query), explain, logger, response)
    registry.metrics().then(
      text => response.writeHead(200, { 'content-type': registry.contentType }).end(text),
      (error: unknown) => {
        logger.error('metrics collection failed', { error: String(error) })
        response.writeHead(500).end()
      }
    )
  })
  server.on('error', error => logger.error('metrics server failed', { port, reason: error.message }))
  return server.listen(port, host)
}

function sendExplanation (parameters: URLSearchParams, explain: NonNullable<MetricsServerOptions['explain']>, logger: Logger, response: ServerResponse): void {
  const send = (status: number, body: unknown): void => { response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body)) }
  const [workspace, database] = [parameters.get('workspace'), parameters.get('database')]
  const kind = explainedKinds.find(k => k === parameters.get('kind'))
  if (workspace === null || database === null || kind === undefined) return send(400, { error: `expected workspace, database and kind (${explainedKinds.join(', ')})` })
  try {
    const result = explain({ workspace, database, kind })
    if ('unknown' in result) send(404, { error: result.unknown })
    else send(200, result)
  } catch (error) {
    logger.error('explanation failed', { workspace, database, kind, error: String(error) })
    send(500, { error: 'the explanation failed, see the log' })
  }
}
