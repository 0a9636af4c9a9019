import { EndpointConnector, type EndpointConnection, type EndpointResponse, type EndpointTarget } from '../backend/endpoint-connector.ts'
import { ConnectionLostError } from '../backend/errors.ts'
import type { ErrorCode, StatementMode, TransactionState } from '../backend/statement.ts'

const WORK_MS = 2
const DELIVERY_MS = 3

/** A read, write or commit that an endpoint has run, with what its connection held then. */
export interface ExecutedStatement {
  id: string
  /** Differs between the runs of a statement. */
  signature: string
  values: Readonly<Record<string, string>>
  /** Shape of the prepared statement that it executed; `null` if it executed none. */
  shape: string | null
  isWrite: boolean
  isInTransaction: boolean
  isCommitted: boolean
}

/** A command that changes what a connection holds. */
export type SessionCommand = 'SET' | 'PARSE' | 'CLOSE' | 'DISCARD'

export interface RefusingEndpointOptions {
  /** Returns the error with which a command is refused, `null` to run it. */
  refuse?: (command: SessionCommand, transaction: TransactionState) => ErrorCode | null
  /** Whether an error inside a transaction fails it, so that it runs nothing more until it has ended. */
  failsTransactions?: boolean
}

interface HeldState {
  values: Map<string, string>
  prepared: Map<string, { mode: StatementMode, shape: string }>
  transaction: 'none' | 'readOnly' | 'plain' | 'failed'
  uncommitted: ExecutedStatement[]
}

type Reply = { code: ErrorCode } | { signature: string | null }

/** A model of endpoints that refuse commands which change what a connection holds. All endpoints share what they have run. */
export class RefusingEndpoint extends EndpointConnector {
  readonly executed: ExecutedStatement[] = []
  /**
   * Whether the endpoints lead. Those that don't refuse writes, and every statement of a plain transaction but the commit of one that wrote
   * nothing.
   */
  isLeading = true
  refuse: NonNullable<RefusingEndpointOptions['refuse']>
  readonly failsTransactions: boolean

  constructor ({ refuse = () => null, failsTransactions = true }: RefusingEndpointOptions = {}) {
    super()
    this.refuse = refuse
    this.failsTransactions = failsTransactions
  }

  override async connect (_target: EndpointTarget): Promise<EndpointConnection> {
    const held: HeldState = { values: new Map(), prepared: new Map(), transaction: 'none', uncommitted: [] }
    const pending = new Set<(error: Error) => void>()
    let handled = Promise.resolve()
    const send = async (work: () => Promise<Reply>): Promise<EndpointResponse> => await new Promise((resolve, reject) => {
      if (!connection.isOpen) return reject(new ConnectionLostError('closed'))
      pending.add(reject)
      handled = handled.then(async () => {
        if (!connection.isOpen) return
        const response = this.#createResponse(held, await work())
        setTimeout(() => resolve(response), DELIVERY_MS)
      })
    })
    const sendControl = async (command: SessionCommand, apply: () => void): Promise<EndpointResponse> => await send(
      async () => this.#runControl(held, command, apply)
    )
    const connection = {
      isOpen: true,
      startPosition: null,
      run: async (id: string, text: string) => await send(async () => await this.#run(held, id, text)),
      begin: async (_id: string, isReadOnly: boolean) => await send(async () => this.#begin(held, isReadOnly)),
      rollback: async () => await send(async () => this.#end(held, null)),
      setValue: async (name: string, value: string) => await sendControl('SET', () => held.values.set(name, value)),
      prepare: async (name: string, mode: StatementMode, shape: string) => await sendControl(
        'PARSE',
        () => held.prepared.set(name, { mode, shape })
      ),
      closeStatement: async (name: string) => await sendControl('CLOSE', () => held.prepared.delete(name)),
      discard: async () => await sendControl('DISCARD', () => {
        held.values.clear()
        held.prepared.clear()
      }),
      subscribeClose: () => {},
      close: () => {
        connection.isOpen = false
        for (const reject of pending) reject(new ConnectionLostError('closed'))
      }
    }
    return connection as unknown as EndpointConnection
  }

  #createResponse (held: HeldState, reply: Reply): EndpointResponse {
    const error = 'code' in reply ? { code: reply.code, text: 'refused' } : null
    if (error !== null && held.transaction !== 'none' && this.failsTransactions) held.transaction = 'failed'
    const state = held.transaction === 'none' ? 'idle' : held.transaction === 'failed' ? 'failed' : 'open'
    return {
      rows: [],
      signature: 'signature' in reply ? reply.signature : null,
      error,
      state,
      position: { term: 1, index: this.executed.length }
    }
  }

  #findRefusal ({ transaction }: HeldState): ErrorCode | null {
    if (transaction === 'failed') return 'malformed'
    return transaction === 'plain' && !this.isLeading ? 'readOnly' : null
  }

  #runControl (held: HeldState, command: SessionCommand, apply: () => void): Reply {
    const state = held.transaction === 'none' ? 'idle' : 'open'
    const code = this.#findRefusal(held) ?? this.refuse(command, state)
    if (code !== null) return { code }
    apply()
    return { signature: null }
  }

  #begin (held: HeldState, isReadOnly: boolean): Reply {
    if (!isReadOnly && !this.isLeading) return { code: 'readOnly' }
    held.transaction = isReadOnly ? 'readOnly' : 'plain'
    return { signature: null }
  }

  #end (held: HeldState, signature: string | null): Reply {
    held.transaction = 'none'
    held.uncommitted = []
    return { signature }
  }

  async #run (held: HeldState, id: string, text: string): Promise<Reply> {
    if (text === 'COMMIT') return this.#commit(held, id)
    const [verb, name = ''] = text.split(' ')
    const prepared = held.prepared.get(name)
    const isWrite = verb === 'WRITE' || (verb === 'EXECUTE' && prepared?.mode === 'write')
    const refusal = this.#findRefusal(held) ?? (isWrite && !this.isLeading ? 'readOnly' : null)
    if (refusal !== null) return { code: refusal }
    if (verb === 'EXECUTE' && prepared === undefined) return { code: 'noStatement' }
    await new Promise(resolve => setTimeout(resolve, WORK_MS))
    return { signature: this.#recordExecuted(held, { id, isWrite, shape: verb === 'EXECUTE' ? prepared!.shape : null }) }
  }

  #recordExecuted (held: HeldState, statement: Pick<ExecutedStatement, 'id' | 'isWrite' | 'shape'>): string {
    const isInTransaction = held.transaction !== 'none'
    const signature = `signed.${statement.id}.${this.executed.length}`
    const executed = {
      ...statement,
      signature,
      values: Object.fromEntries(held.values),
      isInTransaction,
      isCommitted: statement.isWrite && !isInTransaction
    }
    this.executed.push(executed)
    if (statement.isWrite && isInTransaction) held.uncommitted.push(executed)
    return signature
  }

  #commit (held: HeldState, id: string): Reply {
    const { transaction, uncommitted } = held
    if (transaction === 'none') return { code: 'malformed' }
    if (transaction === 'failed') {
      this.#end(held, null)
      return { code: 'aborted' }
    }
    if (transaction === 'plain' && !this.isLeading && uncommitted.length > 0) return { code: 'readOnly' }
    for (const write of uncommitted) write.isCommitted = true
    return this.#end(held, `signed.${id}`)
  }
}
