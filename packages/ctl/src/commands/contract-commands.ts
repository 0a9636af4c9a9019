import type { Contract } from '@camphorpitch/wire'
import { Command } from 'clipanion'
import { ApplyCommand, CheckCommand, DeleteCommand, DiffCommand, GetCommand, ListCommand } from './document-commands.ts'

const category = 'Contracts'

class ContractCheckCommand extends CheckCommand<'contract'> {
  static override paths = [['contract', 'check']]
  static override usage = Command.Usage({ category, description: 'Checks a contract file and prints each problem with the path of its field.' })
  protected readonly kind = 'contract'
}

class ContractApplyCommand extends ApplyCommand<'contract'> {
  static override paths = [['contract', 'apply']]
  static override usage = Command.Usage({ category, description: 'Stores a contract, which puts it in force; a conflicting edit by another operator is shown and not overwritten.' })
  protected readonly kind = 'contract'
}

class ContractGetCommand extends GetCommand<'contract'> {
  static override paths = [['contract', 'get']]
  static override usage = Command.Usage({ category, description: 'Prints the contract of a workspace, or writes it to a file.' })
  protected readonly kind = 'contract'
}

class ContractListCommand extends ListCommand<'contract'> {
  static override paths = [['contract', 'list']]
  static override usage = Command.Usage({ category, description: 'Lists all contracts.' })
  protected readonly kind = 'contract'

  protected describeDocument ({ rate, open, databases }: Contract): string {
    return `${rate.statementsPerSecond}/s, burst ${rate.burst}${open ? ', open' : ''}, databases ${Object.keys(databases).join(', ')}`
  }
}

class ContractDiffCommand extends DiffCommand<'contract'> {
  static override paths = [['contract', 'diff']]
  static override usage = Command.Usage({ category, description: 'Shows how a contract file differs from the contract in force.' })
  protected readonly kind = 'contract'
}

class ContractDeleteCommand extends DeleteCommand<'contract'> {
  static override paths = [['contract', 'delete']]
  static override usage = Command.Usage({ category, description: 'Deletes a contract; from then on, clients of its workspace are refused.' })
  protected readonly kind = 'contract'
}

export const contractCommands = [ContractCheckCommand, ContractApplyCommand, ContractGetCommand, ContractListCommand, ContractDiffCommand, ContractDeleteCommand]
