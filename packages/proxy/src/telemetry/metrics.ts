import { createServer, type Server } from 'node:http'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

const STATEMENT_BUCKETS_SECONDS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10]

/** The metrics of one VM. */
export interface Metrics {
  registry: Registry
  statementSeconds: Histogram<'class'>
  refusals: Counter<'workspace' | 'kind'>
  callers: Gauge
  promotions: Counter<'database'>
  /** 1 while this VM cannot use the database's primary. */
  outage: Gauge<'database'>
}

/** Creates the metrics of a VM in a new registry, with the default metrics of the process. */
export function createMetrics (): Metrics {
  const registry = new Registry()
  collectDefaultMetrics({ register: registry })
  return {
    registry,
    statementSeconds: new Histogram({
      name: 'camphorpitch_statement_seconds',
      help: 'Time from a statement\'s arrival to the end of its answer',
      labelNames: ['class'],
      buckets: STATEMENT_BUCKETS_SECONDS,
      registers: [registry]
    }),
    refusals: new Counter({
      name: 'camphorpitch_refusals_total',
      help: 'Statements refused, by workspace and kind of refusal',
      labelNames: ['workspace', 'kind'],
      registers: [registry]
    }),
    callers: new Gauge({ name: 'camphorpitch_callers', help: 'Connected callers', registers: [registry] }),
    promotions: new Counter({
      name: 'camphorpitch_promotions_total',
      help: 'Instances that this VM made primary, by database',
      labelNames: ['database'],
      registers: [registry]
    }),
    outage: new Gauge({
      name: 'camphorpitch_primary_outage',
      help: '1 while this VM cannot use the database\'s primary',
      labelNames: ['database'],
      registers: [registry]
    })
  }
}

/** A running metrics server. */
export interface MetricsServer {
  port: number
  stop: () => Promise<void>
}

/** Serves `GET /metrics` in the Prometheus text format. */
export async function startMetricsServer (metrics: Metrics, host: string, port: number): Promise<MetricsServer> {
  const server = createServer((request, response) => {
    if (request.url !== '/metrics') {
      response.writeHead(404).end()
      return
    }
    metrics.registry.metrics().then(
      text => response.writeHead(200, { 'content-type': metrics.registry.contentType }).end(text),
      () => response.writeHead(500).end()
    )
  })
  server.listen(port, host)
  await once(server, 'listening')
  const address = server.address() as AddressInfo
  return { port: address.port, stop: async () => await stopServer(server) }
}

async function stopServer (server: Server): Promise<void> {
  server.closeAllConnections()
  await new Promise<void>(resolve => server.close(() => resolve()))
}
