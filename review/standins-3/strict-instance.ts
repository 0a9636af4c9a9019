import { once } from 'node:events'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { decodeFields, encodeLine, LineReader } from '../../platform/src/wire/lines.ts'
import { HOST } from './gateway-process.ts'

const REJOIN_DELAY_MS = 1_000
const RETRY_MS = 20

/** A statement that an instance has run, with the state of its connection then. */
export interface RunStatement { id: string, text: string, instance: string, tenant: string, values: Record<string, string>, atMs: number, index: number }

interface Connection {
  socket: Socket
  tenant: string
  values: Map<string, string>
  prepared: Map<string, { mode: string, shape: string }>
  transaction: 'none' | 'read' | 'plain' | 'failed'
  writes: number
}

interface Reply { lines: string, error?: string }

function createError (code: string, text: string): Reply {
  return { lines: encodeLine('ERROR', code, text), error: code }
}

function createCompletion (proof = '-', row?: string): Reply {
  return { lines: (row === undefined ? '' : encodeLine('DATAROW', row)) + encodeLine('COMPLETE', proof) }
}

/** A group of instances that keep to the page about a statement's errors and a transaction's states. */
export class StrictGroup {
  readonly instances: StrictInstance[] = []
  readonly run: RunStatement[] = []
  readonly promotions: Array<{ atMs: number, instance: string, term: number }> = []
  term = 1
  primary: StrictInstance | undefined

  promoteInstance (id: string): boolean {
    const candidate = this.instances.find(i => i.options.id === id)
    const previous = this.primary
    if (candidate === undefined) return false
    if (candidate === previous && candidate.role === 'primary') return true
    this.term++
    this.primary = candidate
    candidate.lead(this.term)
    this.promotions.push({ atMs: performance.now(), instance: id, term: this.term })
    for (const i of this.instances) if (i !== candidate && i !== previous) i.follow(candidate)
    previous?.followLater(candidate)
    return true
  }
}

/** `rowBytes` is the size of the row that a read returns; by default it holds the statement's text. */
export interface StrictInstanceOptions { id: string, service: string, workMs: number, maxConnections: number, rowBytes?: number }

/** An instance whose commits are numbered; a replica applies them at once. */
export class StrictInstance {
  readonly options: StrictInstanceOptions
  readonly isDown = false
  role: 'primary' | 'replica' = 'replica'
  term = 1
  index = 0
  pausedForTerm = 0
  /** Whether it is partitioned from the other instances. */
  isApart = false
  readonly #group: StrictGroup
  readonly #connections = new Set<Connection>()
  readonly #server = createServer({ noDelay: true }, socket => this.#accept(socket))

  constructor (group: StrictGroup, options: StrictInstanceOptions) {
    this.options = options
    this.#group = group
    group.instances.push(this)
    if (group.primary === undefined) {
      group.primary = this
      this.role = 'primary'
    }
  }

  /** Creates an instance of a group; the first one is its primary. */
  static create (group: StrictGroup, options: StrictInstanceOptions): StrictInstance {
    return new StrictInstance(group, options)
  }

  async start (): Promise<string> {
    this.#server.listen(0, HOST)
    await once(this.#server, 'listening')
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`
  }

  async stop (): Promise<void> {
    for (const { socket } of this.#connections) socket.destroy()
    await new Promise<void>(resolve => this.#server.close(() => resolve()))
  }

  lead (term: number): void {
    Object.assign(this, { role: 'primary', term, pausedForTerm: 0 })
  }

  follow ({ term, index }: StrictInstance): void {
    Object.assign(this, { role: 'replica', term, index, pausedForTerm: 0 })
  }

  /** Follows a new primary once it reaches that one, a second later if it has not stepped down. */
  followLater (primary: StrictInstance): void {
    if (this.#group.primary !== primary) return
    if (this.isApart || primary.isApart) setTimeout(() => this.followLater(primary), RETRY_MS)
    else if (this.role === 'replica') this.follow(primary)
    else setTimeout(() => { if (this.#group.primary === primary && !this.isApart) this.follow(primary) }, REJOIN_DELAY_MS)
  }

  #canReceiveFrom (sender: StrictInstance): boolean {
    return !this.isApart && !sender.isApart && this.role === 'replica' && this.pausedForTerm === 0 && this.term === sender.term
  }

  #accept (socket: Socket): void {
    const connection: Connection = { socket, tenant: '', values: new Map(), prepared: new Map(), transaction: 'none', writes: 0 }
    const reader = new LineReader()
    let handled = Promise.resolve()
    this.#connections.add(connection)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.#connections.delete(connection))
    socket.on('data', chunk => {
      for (const line of reader.read(chunk)) handled = handled.then(async () => await this.#handleLine(connection, line))
    })
  }

  async #handleLine (connection: Connection, line: string): Promise<void> {
    const [keyword, first = '', rest = ''] = decodeFields(line, 3)
    const { socket } = connection
    if (keyword === 'STARTUP') return this.#handleStartup(connection, first, rest)
    if (keyword !== 'QUERY') {
      socket.destroy()
      return
    }
    const reply = await this.#runText(connection, first, rest)
    if (reply.error !== undefined && connection.transaction !== 'none') connection.transaction = 'failed'
    const state = { none: 'I', read: 'T', plain: 'T', failed: 'E' }[connection.transaction]
    if (!socket.destroyed) socket.write(reply.lines + encodeLine('READY', state, `${this.term}.${this.index}`), 'latin1')
  }

  #handleStartup (connection: Connection, service: string, rest: string): void {
    const [tenant = '', expectedId = this.options.id] = rest.split(' ')
    const { id, maxConnections } = this.options
    connection.tenant = tenant
    if (service !== this.options.service || expectedId !== id) connection.socket.end(encodeLine('ERROR', 'MISROUTED', id))
    else if (this.#connections.size > maxConnections) connection.socket.end(encodeLine('ERROR', 'TOOMANY', id))
    else connection.socket.write(encodeLine('READY', 'I', `${this.term}.${this.index}`), 'latin1')
  }

  async #runText (connection: Connection, id: string, text: string): Promise<Reply> {
    const [verb = '', name = '', rest = ''] = decodeFields(text, 3)
    if (verb === 'AFTERLSN') return this.#hasPosition(name) ? await this.#runText(connection, id, rest) : createError('LAGGING', this.options.id)
    const control = this.#control(verb, Number(name))
    if (control !== null) return control
    if (verb === 'ROLLBACK') return this.#end(connection)
    const refusal = this.#refuseInTransaction(connection, verb)
    if (refusal !== null) return refusal
    return this.#runSession(connection, verb, name, rest) ?? await this.#runWork(connection, id, text)
  }

  #hasPosition (position: string): boolean {
    const [term = 0, index = 0] = position.split('.').map(Number)
    return term < this.term || (term === this.term && index <= this.index)
  }

  /** Refuses what a failed transaction does not run, and any statement of a plain one whose instance has lost the lead, but the COMMIT of one that wrote nothing. */
  #refuseInTransaction (connection: Connection, verb: string): Reply | null {
    const { transaction, writes } = connection
    if (transaction === 'failed' && verb !== 'COMMIT') return createError('MALFORMED', 'the transaction has failed')
    if (transaction === 'failed') {
      this.#end(connection)
      return createError('ABORTED', this.options.id)
    }
    const isCommitOfNothing = verb === 'COMMIT' && writes === 0
    return transaction === 'plain' && this.role !== 'primary' && !isCommitOfNothing ? createError('READONLY', this.options.id) : null
  }

  #control (verb: string, term: number): Reply | null {
    if (!['STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'].includes(verb)) return null
    if (verb === 'PAUSE' && this.role === 'replica' && term > Math.max(this.term, this.pausedForTerm)) this.pausedForTerm = term
    if (verb === 'RESUME') this.pausedForTerm = 0
    if (verb === 'STEPDOWN' && this.role === 'primary' && term > this.term) {
      this.role = 'replica'
      if (this.#group.primary !== undefined && this.#group.primary !== this) this.followLater(this.#group.primary)
    }
    return createCompletion('-', `${this.role} ${this.term} ${this.term}.${this.index} ${this.pausedForTerm} 0 0 ${this.#connections.size}`)
  }

  #runSession ({ values, prepared }: Connection, verb: string, name: string, rest: string): Reply | null {
    const [mode = '', shape = ''] = decodeFields(rest, 2)
    if (verb === 'SET') values.set(name, rest)
    else if (verb === 'PARSE') prepared.set(name, { mode, shape })
    else if (verb === 'CLOSE') prepared.delete(name)
    else if (verb === 'DISCARD') {
      values.clear()
      prepared.clear()
    } else return null
    return createCompletion()
  }

  async #runWork (connection: Connection, id: string, text: string): Promise<Reply> {
    const [verb, name = ''] = decodeFields(text, 3)
    if (verb === 'BEGIN') return this.#begin(connection, name)
    if (verb === 'COMMIT') return await this.#commit(connection, id)
    const prepared = verb === 'EXECUTE' ? connection.prepared.get(name) : undefined
    if (verb === 'EXECUTE' && prepared === undefined) return createError('NOSTMT', name)
    const isWrite = verb === 'WRITE' || prepared?.mode === 'WRITE'
    if (isWrite && this.role !== 'primary') return createError('READONLY', this.options.id)
    await new Promise(resolve => setTimeout(resolve, this.options.workMs))
    this.#group.run.push({ id, text, instance: this.options.id, tenant: connection.tenant, values: Object.fromEntries(connection.values), atMs: performance.now(), index: this.index })
    if (!isWrite) return createCompletion(`proof.${this.options.id}.${id}`, `row of ${text}`.padEnd(this.options.rowBytes ?? 0, '.'))
    connection.writes++
    return connection.transaction === 'plain' ? createCompletion(`proof.${this.options.id}.${id}`) : await this.#commit(connection, id)
  }

  #begin (connection: Connection, mode: string): Reply {
    if (mode !== 'READ' && this.role !== 'primary') return createError('READONLY', this.options.id)
    connection.transaction = mode === 'READ' ? 'read' : 'plain'
    return createCompletion()
  }

  #end (connection: Connection): Reply {
    Object.assign(connection, { transaction: 'none', writes: 0 })
    return createCompletion()
  }

  async #commit (connection: Connection, id: string): Promise<Reply> {
    const hasWritten = connection.writes > 0
    this.#end(connection)
    if (!hasWritten) return createCompletion(`proof.${this.options.id}.${id}`)
    const index = ++this.index
    for (;;) {
      const receivers = this.#group.instances.filter(i => i !== this && i.#canReceiveFrom(this))
      for (const r of receivers) r.index = Math.max(r.index, index)
      if (receivers.length > 0) return createCompletion(`proof.${this.options.id}.${id}`)
      await new Promise(resolve => setTimeout(resolve, RETRY_MS))
      if (connection.socket.destroyed) return createError('FAILED', this.options.id)
    }
  }
}
