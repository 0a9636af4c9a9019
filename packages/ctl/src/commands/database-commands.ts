import { SettingsError, type Database } from '@camphorpitch/wire'
import { Command } from 'clipanion'
import { ApplyCommand, GetCommand, ListCommand } from './document-commands.ts'

const category = 'Databases'

class DatabaseApplyCommand extends ApplyCommand<'database'> {
  static override paths = [['database', 'apply']]
  static override usage = Command.Usage({ category, description: 'Stores the description of a database group and its endpoints, which the fleet then uses.' })
  protected readonly kind = 'database'

  /**
   * Allows only one endpoint to be added or removed at a time: majorities of two groups that differ by more than one
   * endpoint need not have a member in common, so that an acknowledged write could be lost.
   */
  protected override validateChange (before: Database, after: Database, file: string): void {
    const listNames = (d: Database) => d.endpoints.map(e => e.endpoint)
    const added = listNames(after).filter(n => !listNames(before).includes(n))
    const removed = listNames(before).filter(n => !listNames(after).includes(n))
    if (added.length + removed.length <= 1) return
    throw new SettingsError(`${file}: endpoints: adds ${added.join(', ') || 'none'} and removes ${removed.join(', ') || 'none'}; add or remove one endpoint at a time, and wait until it has caught up before the next change`)
  }
}

class DatabaseGetCommand extends GetCommand<'database'> {
  static override paths = [['database', 'get']]
  static override usage = Command.Usage({ category, description: 'Prints the description of a database group.' })
  protected readonly kind = 'database'
}

class DatabaseListCommand extends ListCommand<'database'> {
  static override paths = [['database', 'list']]
  static override usage = Command.Usage({ category, description: 'Lists all database groups.' })
  protected readonly kind = 'database'

  protected describeDocument ({ endpoints }: Database): string {
    return endpoints.map(e => `${e.endpoint} (${e.host}:${e.port}, ${e.failureDomain})`).join(', ')
  }
}

export const databaseCommands = [DatabaseApplyCommand, DatabaseGetCommand, DatabaseListCommand]
