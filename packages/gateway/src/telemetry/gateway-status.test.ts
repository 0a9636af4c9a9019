import type { AddressInfo } from 'node:net'
import { createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import { Registry } from 'prom-client'
import type { EndpointEntry } from '../directory/endpoint-entry.ts'
import { createHealth, recordRefused, recordSent, recordNoResponse, ENDPOINT_UNRESPONSIVE_AFTER_MS } from '../pool/endpoint-health.ts'
import { listDoubts } from './gateway-status.ts'
import { startMetricsServer } from './metrics-server.ts'

const entry: EndpointEntry = { endpoint: 'o-2', service: 'orders', address: '10.0.0.1:1', failureDomain: 'north', role: 'replica', isDraining: false, slots: 3, warmupLeftMs: 0, startedAtMs: 0 }

describe('gateway status', () => {
  it('lists the reasons why an endpoint is doubtful, and none for a healthy one', () => {
    const health = createHealth()
    expect(listDoubts({ entry, health, laggingUntilMs: -Infinity }, 1_000)).to.deep.equal([])
    recordSent(health, 1_000)
    expect(listDoubts({ entry: { ...entry, isDraining: true }, health, laggingUntilMs: 5_000 }, 1_000 + ENDPOINT_UNRESPONSIVE_AFTER_MS)).to.deep.equal(['draining', 'lagging', 'silent'])
    recordNoResponse(health, 2_000)
    expect(listDoubts({ entry, health, laggingUntilMs: 0 }, 2_100)).to.include('avoided')
    recordRefused(health, 2_000)
    expect(listDoubts({ entry, health, laggingUntilMs: 0 }, 2_100)).to.include('refusing').and.not.to.include('avoided')
  })

  it('is served by the same server as the metrics', async () => {
    const server = startMetricsServer({ host: '127.0.0.1', port: 0, registry: new Registry(), readStatus: () => ({ vm: 'vm-1' }), logger: createLogger({ process: 'test', level: 'silent' }) })
    await new Promise(resolve => server.once('listening', resolve))
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    expect(await (await fetch(`${url}/status`)).json()).to.deep.equal({ vm: 'vm-1' })
    expect((await fetch(`${url}/metrics`)).status).to.equal(200)
    server.closeAllConnections()
    server.close()
  })
})
