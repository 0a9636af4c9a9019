import { createServer, type Server } from 'node:http'
import type { Logger } from '@camphorpitch/wire'
import type { Registry } from 'prom-client'

export interface MetricsServerOptions {
  host: string
  port: number
  registry: Registry
  /** Returns the content of `/status`, which is sent as JSON. */
  readStatus: () => unknown
  logger: Logger
}

/**
 * Serves `/metrics` in Prometheus' text format and `/status` in JSON. If it cannot listen, the error is only logged, as
 * clients can be served without it.
 */
export function startMetricsServer ({ host, port, registry, readStatus, logger }: MetricsServerOptions): Server {
  const server = createServer((request, response) => {
    if (request.url === '/status') {
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(readStatus()))
      return
    }
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
