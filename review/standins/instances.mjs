// Stand-ins of database instances, as PROTOCOL.md describes them: a primary and its replicas, which run in this process.
import { createServer } from 'node:net'
import { once } from 'node:events'
import { readLines, splitFields } from './lines.mjs'

const PING_MS = 1_200
const MISSED_PINGS = 3
const RETRY_MS = 20
const HANDSHAKE_MS = 12

/** The instances of one service. Each commit waits until a replica has received it (`sync-replicas` 1). */
export class Group {
  instances = []
  /** What the instances have run: statement, values, shape, instance, time. */
  runs = []
  primary = null
  term = 1

  constructor ({ service, store, record, promoteMs = () => 1_000 + Math.random() * 100, lagMs = 60, slots = 3, maxConnections = 46 }) {
    Object.assign(this, { service, store, record, promoteMs, lagMs, slots, maxConnections })
  }

  async start (zones) {
    for (const [i, zone] of zones.entries()) this.instances.push(new Instance(this, `i-${this.service}-${i + 1}`, zone))
    this.primary = this.instances[0]
    for (const i of this.instances) await i.start(i === this.primary ? 'primary' : 'replica', this.term)
    this.timer = setInterval(() => this.replicate(), RETRY_MS)
  }

  stop () {
    clearInterval(this.timer)
    for (const i of this.instances) i.kill()
  }

  /** Starts one more instance, which knows nothing and receives the log from the primary. */
  async add (zone) {
    const added = new Instance(this, `i-${this.service}-${this.instances.length + 1}`, zone)
    await added.start()
    this.instances.push(added)
    this.record(`${added.id} started`)
    return added
  }

  find (id) {
    return this.instances.find(i => i.id === id)
  }

  /** The platform's call: the named instance leads the next term after a while, with what it has received. @returns the status of the answer */
  promote (id) {
    const next = this.find(id)
    if (next === undefined || !next.isUp) return 409
    if (next === this.primary && next.role === 'primary') return 200
    setTimeout(() => {
      if (!next.isUp || (next === this.primary && next.role === 'primary')) return
      const former = this.primary
      this.term++
      this.primary = next
      next.lead(this.term)
      this.record(`${next.id} leads term ${this.term}, log ends at ${next.log.length}`)
      this.replicate()
      // The old primary continues until a second after it can reach the new one.
      if (former !== next) setTimeout(() => { if (former.term < this.term && former.role === 'primary') former.follow(this.primary) }, 1_000)
    }, this.promoteMs())
    return 200
  }

  replicate () {
    const { primary } = this
    if (!primary.isUp) return
    for (const i of this.instances) if (i !== primary && i.isUp && i.role === 'replica') i.receive(primary)
  }
}

class Instance {
  isUp = false
  isDark = false
  isDeaf = false
  state = 'ready'
  role = 'replica'
  term = 0
  log = []
  applied = 0
  pausedForTerm = 0
  workMs = 24
  #sockets = new Set()
  #running = 0
  #queue = []
  #pings = 0

  constructor (group, id, zone) {
    Object.assign(this, { group, id, zone })
  }

  async start (role = 'replica', term = 0) {
    Object.assign(this, { role, term, born: Date.now(), pausedForTerm: 0, isDark: false })
    this.server = createServer({ noDelay: true }, socket => this.#accept(socket))
    this.server.listen(this.port ?? 0, '127.0.0.1')
    await once(this.server, 'listening')
    this.port = this.server.address().port
    this.isUp = true
    clearTimeout(this.removal)
    this.#ping()
    this.pinger = setInterval(() => this.#ping(), PING_MS)
  }

  /** Ends the process. Its entry is removed after three missed pings. */
  kill () {
    if (!this.isUp) return
    this.isUp = false
    clearInterval(this.pinger)
    this.server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.#queue.length = 0
    this.#running = 0
    this.removal = setTimeout(() => {
      this.group.store.remove('servers', this.id)
      this.group.record(`entry of ${this.id} removed`)
    }, MISSED_PINGS * PING_MS)
    this.removal.unref()
  }

  /** Starts again under its id. It then holds and knows nothing of before, and receives the log from the primary after `joinMs`. */
  async restart (joinMs = 0) {
    Object.assign(this, { log: [], applied: 0, isDeaf: true })
    await this.start()
    this.group.record(`${this.id} started again`)
    setTimeout(() => { this.isDeaf = false }, joinMs)
  }

  /** Reports that it drains, serves on, and ends after `ms`. */
  async drain (ms) {
    this.state = 'draining'
    this.#ping()
    await new Promise(resolve => setTimeout(resolve, ms))
    this.kill()
  }

  #ping () {
    if (this.isDark) return
    const { service, store, slots } = this.group
    store.put('servers', this.id, { service, address: `127.0.0.1:${this.port}`, zone: this.zone, version: 1, capacity: slots, state: this.state, 'warmup-left-ms': 0, 'seq-no': ++this.#pings, 'db-role': this.role, born: this.born })
  }

  lead (term) {
    Object.assign(this, { role: 'primary', term, pausedForTerm: 0, applied: this.log.length })
    this.#ping()
  }

  follow (primary) {
    const visible = this.visible
    let shared = 0
    while (shared < this.log.length && this.log[shared] === primary.log[shared]) shared++
    this.log.length = shared
    Object.assign(this, { role: 'replica', term: primary.term, pausedForTerm: 0, applied: Math.min(visible, shared) })
    this.#ping()
  }

  /** Receives the primary's log, and applies it later. @returns the end of the log */
  receive (primary) {
    if (!this.isUp || this.isDark || primary.isDark || this.isDeaf || this.role !== 'replica') return 0
    if (primary.term > this.term) this.follow(primary)
    if (this.pausedForTerm > 0 || primary.term !== this.term) return 0
    for (let i = this.log.length; i < primary.log.length; i++) this.log.push(primary.log[i])
    const end = this.log.length
    setTimeout(() => { this.applied = Math.max(this.applied, Math.min(end, this.log.length)) }, this.group.lagMs).unref()
    return end
  }

  get visible () {
    return this.role === 'primary' ? this.log.length : this.applied
  }

  #accept (socket) {
    const session = { socket, tenant: '', values: new Map(), prepared: new Map(), state: 'I', isReadOnly: false, writes: [], last: Promise.resolve() }
    this.#sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.#sockets.delete(socket))
    readLines(socket, line => { session.last = session.last.then(async () => await this.#handle(session, line)).catch(error => this.group.record(`stand-in failed: ${error.stack}`)) })
  }

  #send ({ socket }, ...lines) {
    if (this.isUp && !this.isDark && !socket.destroyed) socket.write(lines.map(l => `${l}\r\n`).join(''), 'latin1')
  }

  async #handle (session, line) {
    const [keyword, id, text] = splitFields(line, 3)
    if (keyword === 'STARTUP') return await this.#startSession(session, id, text)
    if (keyword !== 'QUERY') return session.socket.destroy()
    const born = this.born
    const answer = await this.#run(session, id, text)
    if (answer !== null && born === this.born) this.#send(session, ...answer, `READY ${session.state} ${this.term}.${this.visible}`)
  }

  async #startSession (session, service, rest) {
    const [tenant, expected] = rest.split(' ')
    session.tenant = tenant
    if (service !== this.group.service || (expected !== undefined && expected !== this.id)) return this.#refuseSession(session, 'MISROUTED')
    if (this.#sockets.size > this.group.maxConnections) return this.#refuseSession(session, 'TOOMANY')
    // A new connection occupies a slot for some time.
    if (!await this.#takeSlot()) return this.#refuseSession(session, 'BUSY')
    await new Promise(resolve => setTimeout(resolve, HANDSHAKE_MS))
    this.#releaseSlot()
    this.#send(session, `READY I ${this.term}.${this.visible}`)
  }

  #refuseSession (session, code) {
    this.#send(session, `ERROR ${code} ${this.id}`)
    session.socket.end()
  }

  async #run (session, id, text) {
    const [verb, name = '', rest = ''] = splitFields(text, 3)
    if (verb === 'AFTERLSN') {
      const [term, index] = name.split('.').map(Number)
      if (term > this.term || index > this.visible) return this.#refuse(session, 'LAGGING')
      return await this.#run(session, id, rest)
    }
    return this.#runControl(verb, Number(name)) ?? this.#runSession(session, verb, name, rest) ?? await this.#runWork(session, id, text)
  }

  #runControl (verb, term) {
    if (verb === 'PAUSE' && this.role === 'replica' && term > Math.max(this.term, this.pausedForTerm)) this.pausedForTerm = term
    else if (verb === 'RESUME') this.pausedForTerm = 0
    else if (verb === 'STEPDOWN' && this.role === 'primary' && term > this.term) Object.assign(this, { role: 'replica', applied: this.log.length })
    else if (!['STATUS', 'PAUSE', 'STEPDOWN'].includes(verb)) return null
    return [`DATAROW ${this.role} ${this.term} ${this.term}.${this.log.length} ${this.pausedForTerm} 0 ${this.#running} ${this.#sockets.size}`, 'COMPLETE -']
  }

  #runSession (session, verb, name, rest) {
    const [mode, shape] = splitFields(rest, 2)
    if (verb === 'SET') session.values.set(name, rest)
    else if (verb === 'PARSE') session.prepared.set(name, { mode, shape })
    else if (verb === 'CLOSE') session.prepared.delete(name)
    else if (verb === 'DISCARD') {
      session.values.clear()
      session.prepared.clear()
    } else if (verb === 'ROLLBACK') Object.assign(session, { state: 'I', writes: [] })
    else return null
    return ['COMPLETE -']
  }

  #refuse (session, code) {
    if (session.state === 'T') session.state = 'E'
    return [`ERROR ${code} ${this.id}`]
  }

  async #runWork (session, id, text) {
    if (session.state === 'E') return ['ERROR MALFORMED the transaction failed']
    const [verb, name] = splitFields(text, 2)
    if (text === 'BEGIN' && this.role !== 'primary') return this.#refuse(session, 'READONLY')
    if (verb === 'BEGIN') {
      Object.assign(session, { state: 'T', isReadOnly: name === 'READ', writes: [] })
      return ['COMPLETE -']
    }
    if (!await this.#takeSlot()) return this.#refuse(session, 'BUSY')
    try {
      return verb === 'COMMIT' ? await this.#commit(session, id) : await this.#runStatement(session, id, text)
    } finally {
      this.#releaseSlot()
    }
  }

  async #takeSlot () {
    if (this.#running >= this.group.slots) {
      if (this.#queue.length >= 24) return false
      await new Promise(resolve => this.#queue.push(resolve))
    }
    this.#running++
    return true
  }

  #releaseSlot () {
    this.#running--
    this.#queue.shift()?.()
  }

  async #runStatement (session, id, text) {
    const [verb, name] = splitFields(text, 3)
    const prepared = session.prepared.get(name)
    if (verb === 'EXECUTE' && prepared === undefined) return this.#refuse(session, 'NOSTMT')
    const isWrite = verb === 'WRITE' || (verb === 'EXECUTE' && prepared.mode === 'WRITE')
    if (isWrite && (this.role !== 'primary' || session.isReadOnly)) return this.#refuse(session, 'READONLY')
    await new Promise(resolve => setTimeout(resolve, this.workMs))
    const run = { id, text, instance: this.id, tenant: session.tenant, values: Object.fromEntries(session.values), shape: verb === 'EXECUTE' ? prepared.shape : null, term: this.term, role: this.role, log: this.visible, atMs: performance.now() }
    this.group.runs.push(run)
    this.group.record(`run: ${id} ${text} at ${run.instance}, ${run.role} of term ${run.term}, log at ${run.log}`)
    if (!isWrite) return [`DATAROW row of ${text}`, `COMPLETE ${this.id}.${id}`]
    session.writes.push(run)
    return session.state === 'T' ? [`COMPLETE ${this.id}.${id}`] : await this.#commit(session, id)
  }

  async #commit (session, id) {
    const writes = session.writes.splice(0)
    session.state = 'I'
    if (writes.length === 0) return [`COMPLETE ${this.id}.${id}`]
    if (this.role !== 'primary') return this.#refuse(session, 'READONLY')
    const { born } = this
    this.log.push({ term: this.term, writes })
    const end = this.log.length
    const hasReceived = () => this.group.instances.some(i => i !== this && i.receive(this) >= end)
    while (!hasReceived()) {
      await new Promise(resolve => setTimeout(resolve, RETRY_MS))
      if (!this.isUp || born !== this.born) return null
      if (this.role !== 'primary') return ['ERROR TIMEOUT the commit was not received']
    }
    for (const write of writes) write.isCommitted = true
    return [`COMPLETE ${this.id}.${id}`]
  }
}
