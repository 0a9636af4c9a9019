// Stand-in of the platform's metadata store and of its call that changes a primary, as PROTOCOL.md describes them.
import { createServer } from 'node:http'
import { once } from 'node:events'

const PAGE_SIZE = 500

async function readBody (request) {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString('utf8'))
}

export class Store {
  #revision = 1
  #kinds = new Map()
  #history = []
  #waiting = new Set()
  #server = createServer((request, response) => { this.#handle(request, response).catch(() => response.destroy()) })

  async start () {
    this.#server.listen(0, '127.0.0.1')
    await once(this.#server, 'listening')
    return `127.0.0.1:${this.#server.address().port}`
  }

  stop () {
    for (const wake of [...this.#waiting]) wake()
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Creates or replaces an object without a condition, as the operator and the instances do. */
  put (kind, name, spec) {
    return this.#set(kind, name, { spec })
  }

  remove (kind, name) {
    const object = this.#list(kind).get(name)
    if (object === undefined) return
    this.#list(kind).delete(name)
    this.#publish(kind, object, true)
  }

  #list (kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map())
    return this.#kinds.get(kind)
  }

  #set (kind, name, { spec, status }) {
    const previous = this.#list(kind).get(name)
    const next = { spec: spec ?? previous?.spec ?? null, status: status ?? previous?.status ?? null }
    // A PUT that changes nothing neither increases the revision nor produces an event.
    if (previous !== undefined && JSON.stringify([previous.spec, previous.status]) === JSON.stringify([next.spec, next.status])) return previous
    const object = { meta: { name, revision: this.#revision + 1, created: previous?.meta.created ?? this.#revision + 1, finalizers: [], deleting: false }, ...next }
    this.#list(kind).set(name, object)
    this.#publish(kind, object, false)
    return object
  }

  #publish (kind, object, removed) {
    this.#revision++
    this.#history.push({ kind, revision: this.#revision, event: { object, removed } })
    for (const wake of [...this.#waiting]) wake()
  }

  async #handle (request, response) {
    const body = await readBody(request)
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const [, , , kind = '', name, part] = pathname.split('/')
    const result = request.method === 'GET' ? await this.#read(kind, name, searchParams) : this.#write(request.method, kind, name, part, body, searchParams)
    response.writeHead(result.status, { 'content-type': 'application/json' }).end(JSON.stringify(result.body))
  }

  async #read (kind, name, query) {
    if (name !== undefined) {
      const object = this.#list(kind).get(name)
      return object === undefined ? { status: 404, body: {} } : { status: 200, body: object }
    }
    if (query.has('watch')) return await this.#watch(kind, Number(query.get('watch')), Number(query.get('wait-ms') ?? 0))
    const after = query.get('after') ?? ''
    const objects = [...this.#list(kind).values()].filter(o => o.meta.name > after).sort((a, b) => a.meta.name < b.meta.name ? -1 : 1)
    return { status: 200, body: { items: objects.slice(0, PAGE_SIZE), more: objects.length > PAGE_SIZE, 'as-of': this.#revision } }
  }

  async #watch (kind, since, waitMs) {
    const untilMs = performance.now() + waitMs
    for (;;) {
      const events = this.#history.filter(h => h.kind === kind && h.revision > since).map(h => h.event)
      const leftMs = untilMs - performance.now()
      if (events.length > 0 || leftMs <= 0) return { status: 200, body: { events, 'as-of': this.#revision } }
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.#waiting.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, leftMs)
        this.#waiting.add(wake)
      })
    }
  }

  #write (method, kind, pathName, part, body, query) {
    const name = pathName ?? body?.meta?.name
    const current = this.#list(kind).get(name)
    if (method === 'POST') return current === undefined ? { status: 200, body: this.#set(kind, name, { spec: body?.spec }) } : { status: 409, body: current }
    if (current === undefined) return { status: 404, body: {} }
    if ((readCondition(body, query) ?? current.meta.revision) !== current.meta.revision) return { status: 409, body: current }
    if (method === 'PUT') return { status: 200, body: this.#set(kind, name, part === 'status' ? { status: body.status } : { spec: body.spec }) }
    this.remove(kind, name)
    return { status: 200, body: current }
  }
}

/** @returns the revision that a call demands, in its body or its query; `undefined` if it demands none */
function readCondition (body, query) {
  return body?.meta?.revision ?? (query.has('revision') ? Number(query.get('revision')) : undefined)
}

/** The platform's call that changes a primary. `promote` takes a service and an id, and returns the status of the answer. */
export class Promoter {
  #server
  constructor (promote, record) {
    this.#server = createServer((request, response) => {
      readBody(request).then(body => {
        const status = request.method === 'POST' && request.url === '/promote' ? promote(body.service, body.id) : 404
        record(`platform: promote ${body?.service} ${body?.id}, holder ${request.headers['x-camphorpitch-duty-holder']}, token ${request.headers['x-camphorpitch-fencing-token']}: ${status}`)
        response.writeHead(status, { 'content-type': 'application/json' }).end('{}')
      }).catch(() => response.destroy())
    })
  }

  async start () {
    this.#server.listen(0, '127.0.0.1')
    await once(this.#server, 'listening')
    return `127.0.0.1:${this.#server.address().port}`
  }

  stop () {
    this.#server.closeAllConnections()
    this.#server.close()
  }
}
