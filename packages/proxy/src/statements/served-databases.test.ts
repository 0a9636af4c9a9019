import { createLogger, type ResponseFrame, type Database } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { ConfigurationView } from '../configuration/configuration-view.ts'
import { PlacementView } from '../membership/placement-view.ts'
import { DatabaseService } from './database-service.ts'
import { ServedDatabases } from './served-databases.ts'

class FakeService extends DatabaseService {
  open = new Set<string>()
  isStopped = false
  finishDrain: () => void = () => {}
  override async * run (): AsyncGenerator<ResponseFrame, void, void> {}
  override hasTransaction (id: string): boolean { return this.open.has(id) }
  override abandon (): void {}
  override async drain (): Promise<void> { await new Promise<void>(resolve => { this.finishDrain = resolve }) }
  override stop (): void { this.isStopped = true }
}

class MutablePlacement extends PlacementView {
  served: string[] = ['orders']
  notifyChange: () => void = () => {}
  override listServingVms (): string[] { return [] }
  override listRankedServingVms (): string[] { return [] }
  override isServing (): boolean { return true }
  override listServedDatabases (): string[] { return this.served }
  override computeConnectionShare (): number { return 1 }
  override subscribe (listener: () => void): void { this.notifyChange = listener }
}

describe('ServedDatabases', () => {
  it('routes an open transaction to its draining service, and stops that service only after the drain', async () => {
    const database: Database = { database: 'orders', endpoints: [], user: 'u', password: '' }
    const configuration = { findDatabase: () => database, subscribe: () => {} } as unknown as ConfigurationView
    const placement = new MutablePlacement()
    const services: FakeService[] = []
    const served = new ServedDatabases({
      configuration,
      placement,
      logger: createLogger({ process: 'test', level: 'silent' }),
      startService: () => {
        const created = new FakeService()
        services.push(created)
        return created
      }
    })
    served.updateServices()
    const first = services[0] as FakeService
    first.open.add('t1')
    placement.served = []
    placement.notifyChange()
    expect(served.findService('orders', null)).to.equal(undefined)
    expect(served.findService('orders', 't1')).to.equal(first)
    expect(first.isStopped).to.equal(false)
    placement.served = ['orders']
    placement.notifyChange()
    expect(served.findService('orders', null)).to.equal(services[1])
    expect(served.findService('orders', 't1')).to.equal(first)
    first.finishDrain()
    await new Promise(resolve => setImmediate(resolve))
    expect(first.isStopped).to.equal(true)
  })
})
