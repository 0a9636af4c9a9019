import type { Logger } from '@camphorpitch/wire'
import { expect } from 'chai'
import { MemoryStore } from '../testing/memory-store.ts'
import { reportEpochs } from './report-epochs.ts'

const REWRITE_TIME_MS = 20

interface Line { message: string, fields: Record<string, unknown> }

function startReports (store: MemoryStore): Line[] {
  const lines: Line[] = []
  const record = (message: string, fields: Record<string, unknown>): void => { lines.push({ message, fields }) }
  reportEpochs({ store, logger: { warn: record, info: record } as unknown as Logger, describeState: () => ({ configurationVersion: 7 }), rewriteTimeMs: REWRITE_TIME_MS })
  return lines
}

describe('log of the metadata store\'s epochs', () => {
  it('tells the epochs and revisions before and after, and then what this VM has written again', async () => {
    const store = new MemoryStore()
    const lines = startReports(store)
    const copy = store.createCopy()
    await store.write('vms', 'vm-a', {}, null)
    await store.write('quotas', 'pressed', {}, null)
    store.restore(copy)
    await store.list('vms')
    expect(lines).to.deep.equal([{ message: 'metadata store returned from an older copy', fields: { previousEpoch: 0, epoch: 1, previousNumber: 2, number: 0, configurationVersion: 7 } }])
    await store.write('vms', 'vm-a', {}, null)
    await new Promise(resolve => setTimeout(resolve, 2 * REWRITE_TIME_MS))
    expect(lines.slice(1)).to.deep.equal([{ message: 'objects written since the metadata store returned', fields: { epoch: 1, objects: ['vms/vm-a'], withinMs: REWRITE_TIME_MS } }])
  })

  it('names no write that the change of the epoch made doubtful, and reports two returns in a row once each', async () => {
    const store = new MemoryStore()
    const lines = startReports(store)
    const copy = store.createCopy()
    await store.list('vms')
    store.restore(copy)
    await store.write('duties', 'doubtful', {}, null).catch(() => {})
    store.restore(copy)
    await store.list('vms')
    await new Promise(resolve => setTimeout(resolve, 2 * REWRITE_TIME_MS))
    expect(lines.map(l => [l.message, l.fields.epoch, l.fields.objects])).to.deep.equal([
      ['metadata store returned from an older copy', 1, undefined],
      ['metadata store returned from an older copy', 2, undefined],
      ['objects written since the metadata store returned', 2, []]
    ])
  })
})
