import { writeFileSync } from 'node:fs'
import { nameSchema, readJsonFile, SettingsError, type Contract, type Database, type ObjectClient, type StoredObject } from '@camphorpitch/wire'
import { Option } from 'clipanion'
import { checkDatabaseNames, checkDocument, formatSuggestion, listChanges, type Document, type DocumentKind, type FieldChange } from '../document-check.ts'
import { EditConflictError, NotFoundError } from '../errors.ts'
import { removeObject, replaceObject } from '../object-edits.ts'
import { PlatformCommand, type CommandOutput } from './platform-command.ts'

/** Base class of the commands on documents of one kind. */
abstract class DocumentCommand<K extends DocumentKind> extends PlatformCommand {
  protected abstract readonly kind: K

  protected readName (document: Document<K>): string {
    return this.kind === 'contract' ? (document as Contract).workspace : (document as Database).database
  }

  protected readDocument (file: string): Document<K> {
    return checkDocument(this.kind, readJsonFile(file), file)
  }

  /** @throws SettingsError when a contract names an unknown database */
  protected async checkReferences (client: ObjectClient, document: Document<K>, file: string): Promise<void> {
    if (this.kind !== 'contract') return
    const { objects } = await client.listObjects('database')
    checkDatabaseNames(document as Contract, objects.map(o => o.name), file)
  }

  /** @throws NotFoundError that suggests the nearest name */
  protected async findExisting (client: ObjectClient, name: string): Promise<StoredObject> {
    if (!nameSchema.safeParse(name).success) throw new SettingsError(`'${name}': not a valid name, expected lower-case letters, digits and hyphens`)
    const object = await client.findObject(this.kind, name)
    if (object !== null) return object
    const { objects } = await client.listObjects(this.kind)
    throw new NotFoundError(`no ${this.kind} '${name}'${formatSuggestion(name, objects.map(o => o.name))}`)
  }
}

export abstract class CheckCommand<K extends DocumentKind> extends DocumentCommand<K> {
  file = Option.String()

  override async run (): Promise<CommandOutput> {
    const document = this.readDocument(this.file)
    if (this.platform !== undefined) await this.checkReferences(this.createClient(), document, this.file)
    const uncheckedNote = this.platform === undefined ? '; names of databases not checked (this needs --platform)' : ''
    return { lines: [`${this.file}: valid${uncheckedNote}`], value: { valid: true } }
  }
}

export abstract class ApplyCommand<K extends DocumentKind> extends DocumentCommand<K> {
  file = Option.String()

  /**
   * Checks that a document may replace the one in force; accepts every change unless a subclass overrides it.
   *
   * @throws SettingsError when it may not
   */
  protected validateChange (_before: Document<K>, _after: Document<K>, _file: string): void {}

  version = Option.String('--version', { description: 'write only if the stored object has this version; 0 if there must be none' })

  override async run (): Promise<CommandOutput> {
    const document = this.readDocument(this.file)
    const client = this.createClient()
    await this.checkReferences(client, document, this.file)
    const name = this.readName(document)
    const current = await client.findObject(this.kind, name)
    const expectedVersion = this.version === undefined ? current?.version ?? 0 : parseVersion(this.version)
    const changes = listChanges(current?.value, document)
    if (current !== null) this.validateChange(current.value as Document<K>, document, this.file)
    if (expectedVersion !== (current?.version ?? 0)) throw createConflictError(this.kind, name, expectedVersion, current, changes)
    if (current !== null && changes.length === 0) return { lines: [`${this.kind} '${name}': unchanged at version ${current.version}`], value: { name, version: current.version, changes } }
    const { version } = await replaceObject(client, this.kind, name, expectedVersion, document as never)
    return { lines: [`${this.kind} '${name}': accepted as version ${version}`, ...changes.map(formatChange)], value: { name, version, changes } }
  }
}

export abstract class GetCommand<K extends DocumentKind> extends DocumentCommand<K> {
  name = Option.String()
  output = Option.String('-o,--output', { description: 'file to write the document to' })

  override async run (): Promise<CommandOutput> {
    const { version, value } = await this.findExisting(this.createClient(), this.name)
    const text = JSON.stringify(value, null, 2)
    if (this.output === undefined) return { lines: [text], value: { name: this.name, version, value } }
    writeFileSync(this.output, `${text}\n`)
    return { lines: [`${this.output}: version ${version}; apply it with --version ${version}`], value: { name: this.name, version, file: this.output } }
  }
}

export abstract class ListCommand<K extends DocumentKind> extends DocumentCommand<K> {
  override async run (): Promise<CommandOutput> {
    const { objects } = await this.createClient().listObjects(this.kind)
    const rows = objects.map(({ name, version, value }) => ({ name, version, value: value as Document<K> }))
    rows.sort((a, b) => a.name < b.name ? -1 : 1)
    return { lines: rows.map(r => `${r.name}  version ${r.version}  ${this.describeDocument(r.value)}`), value: rows }
  }

  protected abstract describeDocument (document: Document<K>): string
}

export abstract class DiffCommand<K extends DocumentKind> extends DocumentCommand<K> {
  file = Option.String()

  override async run (): Promise<CommandOutput> {
    const document = this.readDocument(this.file)
    const name = this.readName(document)
    const current = await this.createClient().findObject(this.kind, name)
    const changes = listChanges(current?.value, document)
    const summary = current === null ? `${this.kind} '${name}' does not exist yet` : `${this.kind} '${name}' at version ${current.version}: ${changes.length} changes`
    return { lines: [summary, ...changes.map(formatChange)], value: { name, version: current?.version ?? 0, changes } }
  }
}

export abstract class DeleteCommand<K extends DocumentKind> extends DocumentCommand<K> {
  name = Option.String()
  version = Option.String('--version', { description: 'delete only if the stored object has this version' })

  override async run (): Promise<CommandOutput> {
    const client = this.createClient()
    const current = await this.findExisting(client, this.name)
    const expectedVersion = this.version === undefined ? current.version : parseVersion(this.version)
    await removeObject(client, this.kind, this.name, expectedVersion)
    return { lines: [`${this.kind} '${this.name}': deleted`], value: { name: this.name, deleted: true } }
  }
}

function parseVersion (text: string): number {
  const version = Number(text)
  if (Number.isInteger(version) && version >= 0) return version
  throw new SettingsError(`--version: expected a whole number, got '${text}'`)
}

function createConflictError (kind: DocumentKind, name: string, expectedVersion: number, current: StoredObject | null, changes: FieldChange[]): Error {
  const lines = [`${kind} '${name}': expected version ${expectedVersion}, found ${current?.version ?? 'none'}; nothing was written`]
  return new EditConflictError([...lines, 'the stored document and the file differ in:', ...changes.map(formatChange)].join('\n'))
}

/** Formats a changed field as an indented line. @example formatChange({ path: 'rate.burst', from: 10, to: 20 }) // '  rate.burst: 10 -> 20' */
function formatChange ({ path, from, to }: FieldChange): string {
  return `  ${path}: ${JSON.stringify(from) ?? 'absent'} -> ${JSON.stringify(to) ?? 'absent'}`
}
