// A group of database instances that speaks the line protocol, with its log, replication, terms and pause as the pages tell them.
import { once } from 'node:events'
import { createServer } from 'node:net'
import { performance } from 'node:perf_hooks'

const HOST = '127.0.0.1'
const RETRY_MS = 20
/** An old primary becomes a replica this long after it can reach the new one, unless it is told to step down. */
const REJOIN_MS = 1_000

/** Splits a line at its first `count - 1` blanks. */
function splitFields (line, count) {
  const words = line.split(' ')
  return words.length <= count ? words : [...words.slice(0, count - 1), words.slice(count - 1).join(' ')]
}

/** An entry of a log; logs that share an entry share all before it. */
function findShared (a, b) {
  while (a !== b) {
    if ((a?.number ?? 0) >= (b?.number ?? 0)) a = a?.previous ?? null
    else b = b?.previous ?? null
  }
  return a
}

/** Formats the end of a log: the term and the number of its last entry. */
function formatPosition (entry) {
  return `${entry?.term ?? 1}.${entry?.number ?? 0}`
}

/** Whether the log that ends with `head` holds the entry. */
export function hasEntry (head, entry) {
  return findShared(head, entry) === entry
}

export class Group {
  instances = []
  /** What instances have run, by statement id: instance, text, session values and the last log entry that was visible. */
  runs = []
  commits = []
  promotions = []
  term = 1

  constructor ({ service, promoteMs = 1_000, onChange = () => {} }) {
    Object.assign(this, { service, promoteMs, onChange })
  }

  find (id) {
    return this.instances.find(i => i.id === id)
  }

  get primary () {
    return this.instances.filter(i => i.role === 'primary').sort((a, b) => b.term - a.term)[0]
  }

  /** Makes an instance the primary of the next term after `promoteMs`. @returns the status of the platform's response */
  promote (id) {
    const candidate = this.find(id)
    if (candidate === undefined || candidate.isDown) return 409
    if (candidate.role === 'primary') return 200
    setTimeout(() => this.#lead(candidate), this.promoteMs)
    return 200
  }

  #lead (candidate) {
    if (candidate.isDown || candidate.role === 'primary') return
    this.term++
    Object.assign(candidate, { role: 'primary', term: this.term, pausedForTerm: 0, applied: candidate.head })
    this.promotions.push({ atMs: performance.now(), instance: candidate.id, term: this.term, head: candidate.head })
    this.onChange(candidate)
    for (const i of this.instances) if (i !== candidate) i.expectPrimary(candidate)
  }
}

export class Instance {
  role = 'replica'
  term = 1
  pausedForTerm = 0
  isDown = false
  /** Instances between which and this one nothing passes. */
  cutFrom = new Set()
  /** Last log entry received, and the last one that is applied. */
  head = null
  applied = null
  #sockets = new Set()

  constructor (group, { id, zone, lagMs = 60, netMs = 8, workMs = 4, bornMs = Date.now() - 60_000 }) {
    Object.assign(this, { group, id, zone, lagMs, netMs, workMs, bornMs })
    if (group.instances.length === 0) this.role = 'primary'
    group.instances.push(this)
    this.server = createServer({ noDelay: true }, socket => this.#accept(socket))
  }

  async start () {
    this.server.listen(0, HOST)
    await once(this.server, 'listening')
    this.address = `${HOST}:${this.server.address().port}`
  }

  stop () {
    this.isDown = true
    for (const s of this.#sockets) s.destroy()
    this.server.close()
  }

  canReach (other) {
    return !this.isDown && !other.isDown && !this.cutFrom.has(other.id) && !other.cutFrom.has(this.id)
  }

  /** Follows the new primary once it is reached; one that still leads an older term does so a second later. */
  expectPrimary (primary) {
    let reachedAtMs = null
    const timer = setInterval(() => {
      if (primary.role !== 'primary' || this.isDown || this.term >= primary.term) return clearInterval(timer)
      if (!this.canReach(primary)) return
      reachedAtMs ??= performance.now()
      if (performance.now() - reachedAtMs < (this.role === 'primary' ? REJOIN_MS : this.netMs)) return
      clearInterval(timer)
      this.#follow(primary)
      this.receive(primary.head, primary)
    }, 4)
  }

  #follow (primary) {
    const wasPrimary = this.role === 'primary'
    Object.assign(this, { role: 'replica', term: primary.term, pausedForTerm: 0, head: findShared(this.head, primary.head) })
    this.applied = findShared(this.applied, this.head)
    if (wasPrimary) this.group.onChange(this)
  }

  /** Receives the log up to an entry, and applies it later. @returns whether it has it */
  receive (entry, primary) {
    if (!this.canReach(primary) || this.role === 'primary' || primary.role !== 'primary') return false
    if (primary.term > this.term) this.#follow(primary)
    if (this.pausedForTerm > 0 || primary.term !== this.term) return false
    if (entry === null || entry.number <= (this.head?.number ?? 0)) return true
    this.head = entry
    setTimeout(() => { if (hasEntry(this.head, entry) && entry.number > (this.applied?.number ?? 0)) this.applied = entry }, this.lagMs).unref()
    return true
  }

  get visible () {
    return this.role === 'primary' ? this.head : this.applied
  }

  #accept (socket) {
    const connection = { socket, tenant: '', values: new Map(), prepared: new Map(), tx: null, writes: [] }
    let text = ''
    let last = Promise.resolve()
    this.#sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.#sockets.delete(socket))
    socket.on('data', chunk => {
      const lines = (text + chunk.toString('latin1')).split('\r\n')
      text = lines.pop()
      for (const line of lines) last = last.then(async () => await this.#handle(connection, line))
    })
  }

  async #handle (connection, line) {
    const [word, first = '', rest = ''] = splitFields(line, 3)
    const write = (...lines) => { if (!connection.socket.destroyed) connection.socket.write(lines.map(l => `${l}\r\n`).join(''), 'latin1') }
    if (word === 'STARTUP') {
      const [tenant, id] = rest.split(' ')
      connection.tenant = tenant
      if (first === this.group.service && (id === undefined || id === this.id)) return write(`READY I ${this.#position}`)
      return connection.socket.end(`ERROR MISROUTED ${this.id}\r\n`)
    }
    if (word !== 'QUERY') return connection.socket.destroy()
    const answer = await this.#run(connection, first, rest)
    if (answer !== null) write(...answer, `READY ${connection.tx === null ? 'I' : connection.tx === 'failed' ? 'E' : 'T'} ${this.#position}`)
  }

  get #position () {
    return formatPosition(this.visible)
  }

  async #run (connection, id, text) {
    const control = this.#runControl(text)
    if (control !== null) return control
    const [verb] = splitFields(text, 2)
    if (connection.tx === 'failed') return this.#runInFailed(connection, verb)
    const hasLostLead = connection.tx === 'plain' && this.role !== 'primary'
    const isEmptyCommit = verb === 'COMMIT' && connection.writes.length === 0
    if (hasLostLead && !isEmptyCommit && verb !== 'ROLLBACK') return this.#reject(connection, 'READONLY')
    if (verb === 'AFTERLSN') return await this.#runAfter(connection, id, text)
    return this.#runSession(connection, text) ?? await this.#runStatement(connection, id, text)
  }

  #runInFailed (connection, verb) {
    if (verb !== 'ROLLBACK' && verb !== 'COMMIT') return [`ERROR MALFORMED ${this.id}`]
    Object.assign(connection, { tx: null, writes: [] })
    return verb === 'COMMIT' ? [`ERROR ABORTED ${this.id}`] : ['COMPLETE -']
  }

  async #runAfter (connection, id, text) {
    const [, position, rest] = splitFields(text, 3)
    const [term, number] = position.split('.').map(Number)
    const { visible } = this
    const hasPosition = visible !== null && (visible.term > term || (visible.term === term && visible.number >= number))
    if (number > 0 && !hasPosition) return this.#reject(connection, 'LAGGING')
    return await this.#run(connection, id, rest)
  }

  #reject (connection, code) {
    if (connection.tx !== null) connection.tx = 'failed'
    return [`ERROR ${code} ${this.id}`]
  }

  #runControl (text) {
    const [verb, term] = text.split(' ')
    const wasPrimary = this.role === 'primary'
    if (verb === 'PAUSE' && !wasPrimary && Number(term) > Math.max(this.term, this.pausedForTerm)) this.pausedForTerm = Number(term)
    else if (verb === 'RESUME') this.pausedForTerm = 0
    else if (verb === 'STEPDOWN' && wasPrimary && Number(term) > this.term) this.role = 'replica'
    else if (!['STATUS', 'PAUSE', 'STEPDOWN'].includes(verb)) return null
    if (wasPrimary && this.role === 'replica') this.group.onChange(this)
    return [`DATAROW ${this.role} ${this.term} ${formatPosition(this.head)} ${this.pausedForTerm} 0 0 ${this.#sockets.size}`, 'COMPLETE -']
  }

  #runSession ({ values, prepared }, text) {
    const [verb, name, rest = ''] = splitFields(text, 3)
    if (verb === 'SET') values.set(name, rest)
    else if (verb === 'PARSE') prepared.set(name, rest)
    else if (verb === 'CLOSE') prepared.delete(name)
    else if (verb === 'DISCARD') [values, prepared].forEach(m => m.clear())
    else return null
    return ['COMPLETE -']
  }

  async #runStatement (connection, id, text) {
    const [verb, name] = splitFields(text, 3)
    if (verb === 'BEGIN') return this.#begin(connection, name)
    if (verb === 'COMMIT') return await this.#commit(connection, id)
    if (verb === 'ROLLBACK') {
      Object.assign(connection, { tx: null, writes: [] })
      return ['COMPLETE -']
    }
    if (verb === 'EXECUTE' && !connection.prepared.has(name)) return this.#reject(connection, 'NOSTMT')
    const isWrite = verb === 'WRITE' || (verb === 'EXECUTE' && connection.prepared.get(name).startsWith('WRITE'))
    if (isWrite && this.role !== 'primary') return this.#reject(connection, 'READONLY')
    const { visible } = this
    await new Promise(resolve => setTimeout(resolve, this.workMs))
    this.group.runs.push({ id, text, instance: this.id, role: this.role, term: this.term, tenant: connection.tenant, values: Object.fromEntries(connection.values), visible, atMs: performance.now() })
    if (!isWrite) return [`DATAROW ${text}`, `COMPLETE proof.${this.id}.${id}`]
    connection.writes.push({ id, text })
    return connection.tx === null ? await this.#commit(connection, id) : [`COMPLETE proof.${this.id}.${id}`]
  }

  #begin (connection, mode) {
    if (mode !== 'READ' && this.role !== 'primary') return this.#reject(connection, 'READONLY')
    connection.tx = mode === 'READ' ? 'read' : 'plain'
    return ['COMPLETE -']
  }

  /** Commits, and answers once a replica has received the commit. */
  async #commit (connection, id) {
    const { writes } = connection
    Object.assign(connection, { tx: null, writes: [] })
    if (writes.length === 0) return [`COMPLETE proof.${this.id}.${id}`]
    const entry = { term: this.term, number: (this.head?.number ?? 0) + 1, previous: this.head, writes }
    this.head = entry
    this.applied = entry
    const commit = { id, entry, instance: this.id, atMs: performance.now(), ackedAtMs: null }
    this.group.commits.push(commit)
    while (!connection.socket.destroyed && !this.isDown) {
      if (await this.#replicate()) {
        commit.ackedAtMs = performance.now()
        return [`COMPLETE proof.${this.id}.${id}`]
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_MS))
    }
    return null
  }

  /** Sends the log to the others. @returns whether one has received it */
  async #replicate () {
    const { head } = this
    const receipts = this.group.instances.filter(i => i !== this).map(async i => {
      await new Promise(resolve => setTimeout(resolve, i.netMs))
      if (!i.receive(head, this)) throw new Error('not received')
    })
    return await Promise.any(receipts).then(() => true, () => false)
  }
}
