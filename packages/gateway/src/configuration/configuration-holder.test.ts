import { createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { Configuration } from './configuration.ts'
import { ConfigurationHolder, type ConfigurationHolderOptions } from './configuration-holder.ts'

function createConfiguration (version: number, keys: string[]): Configuration {
  return { version, routes: [], services: [], workspaces: [{ name: 'lab', keys }], transactionIdleMs: 1_000 }
}

function createHolder (options?: ConfigurationHolderOptions): { holder: ConfigurationHolder, applied: Configuration[] } {
  const holder = new ConfigurationHolder(createLogger({ process: 'test', level: 'silent' }), options)
  const applied: Configuration[] = []
  holder.subscribe(configuration => applied.push(configuration))
  return { holder, applied }
}

describe('configuration in use', () => {
  it('stays when an older copy of the store has an earlier version, so that a withdrawn key stays withdrawn', () => {
    const { holder, applied } = createHolder()
    holder.apply(createConfiguration(7, ['withdrawn', 'kept']), 'list', 0)
    holder.apply(createConfiguration(9, ['kept']), 'watch', 0)
    holder.apply(createConfiguration(7, ['withdrawn', 'kept']), 'list', 1)
    expect(holder.current?.workspaces[0]?.keys).to.deep.equal(['kept'])
    holder.apply(createConfiguration(9, ['kept']), 'watch', 1)
    expect(applied.map(c => c.version)).to.deep.equal([7, 9])
  })

  it('is replaced by other content of the same version only if that was read in a later epoch', () => {
    const { holder } = createHolder()
    holder.apply(createConfiguration(9, ['first']), 'list', 0)
    holder.apply(createConfiguration(9, ['other']), 'watch', 0)
    holder.apply(createConfiguration(9, ['other']), 'vm b')
    expect(holder.current?.workspaces[0]?.keys).to.deep.equal(['first'])
    holder.apply(createConfiguration(9, ['other']), 'watch', 1)
    expect(holder.current?.workspaces[0]?.keys).to.deep.equal(['other'])
  })

  it('is replaced by a later version of any epoch', () => {
    const { holder } = createHolder()
    holder.apply(createConfiguration(9, []), 'list', 1)
    holder.apply(createConfiguration(10, []), 'vm b')
    expect(holder.version).to.equal(10)
  })

  it('from another VM is replaced by other content of the same version that the store has in its epoch', () => {
    const { holder } = createHolder()
    holder.apply(createConfiguration(7, ['earlier']), 'list', 1)
    holder.apply(createConfiguration(9, ['first']), 'vm b')
    holder.apply(createConfiguration(9, ['other']), 'watch', 1)
    expect(holder.current?.workspaces[0]?.keys).to.deep.equal(['other'])
  })
})

describe('first configuration of a VM that starts after the store returned from an older copy', () => {
  const HOLD_MS = { holdMs: 20, holdForLaterMs: 60 }

  it('is not an earlier version with a withdrawn key if another VM has a later one', async () => {
    const { holder, applied } = createHolder(HOLD_MS)
    holder.apply(createConfiguration(7, ['withdrawn']), 'list', 1)
    expect(holder.current).to.equal(null)
    holder.recordReportedVersion(9)
    await new Promise(resolve => setTimeout(resolve, HOLD_MS.holdMs + 10))
    holder.apply(createConfiguration(9, ['kept']), 'vm b')
    await new Promise(resolve => setTimeout(resolve, HOLD_MS.holdForLaterMs))
    expect(applied.map(c => c.version)).to.deep.equal([9])
  })

  it('is used at once if another VM has no later version, whichever is known first', () => {
    const { holder } = createHolder(HOLD_MS)
    holder.apply(createConfiguration(7, []), 'list', 1)
    holder.recordReportedVersion(7)
    expect(holder.version).to.equal(7)
    const other = createHolder(HOLD_MS).holder
    other.recordReportedVersion(7)
    other.apply(createConfiguration(7, []), 'list', 1)
    expect(other.version).to.equal(7)
  })

  it('is used after a time if no other VM reports a version, or none sends the later one', async () => {
    const [alone, other] = [createHolder(HOLD_MS).holder, createHolder(HOLD_MS).holder]
    for (const holder of [alone, other]) holder.apply(createConfiguration(7, []), 'list', 1)
    other.recordReportedVersion(9)
    expect([alone.version, other.version]).to.deep.equal([0, 0])
    await new Promise(resolve => setTimeout(resolve, HOLD_MS.holdMs + 10))
    expect([alone.version, other.version]).to.deep.equal([7, 0])
    await new Promise(resolve => setTimeout(resolve, HOLD_MS.holdForLaterMs))
    expect(other.version).to.equal(7)
  })

  it('is used at once in epoch 0', () => {
    const { holder } = createHolder(HOLD_MS)
    holder.apply(createConfiguration(7, []), 'list', 0)
    expect(holder.version).to.equal(7)
  })
})
