import { createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { Configuration } from './configuration.ts'
import { ConfigurationHolder } from './configuration-holder.ts'

function createConfiguration (version: number, keys: string[]): Configuration {
  return { version, routes: [], services: [], workspaces: [{ name: 'lab', keys }], transactionIdleMs: 1_000 }
}

function createHolder (): { holder: ConfigurationHolder, applied: Configuration[] } {
  const holder = new ConfigurationHolder(createLogger({ process: 'test', level: 'silent' }))
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
