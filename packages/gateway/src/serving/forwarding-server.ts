import type { Clock, Hello, Logger, PeerNetwork } from '@camphorpitch/wire'
import { Withdrawal } from '../pool/withdrawal.ts'
import type { Operation, Outcome } from '../statements/operation.ts'
import { countAnswerBytes, decodeOperation, estimateBytes, SERVING_SLICE, buildParts, type NotRunReason, type RunMessage, type ServingMessage } from './forwarding-messages.ts'
import { addRequest, createRequestLog, measureExcessDelayMs, type RequestLog } from './request-log.ts'

/** Statements of other VMs that run or wait here at most. At 20 ms a statement, 512 are 10 s of an endpoint's work with one slot. */
const MAX_RUNNING = 512
/** Size of these statements at most, in bytes; VMs have 250 MB of memory and more. */
const MAX_RUNNING_BYTES = 16 * 1024 * 1024
/** Rows of a read's answer that are sent to another VM at most, in bytes: on a link of 7 Mbit/s they take 2.3 s. */
const MAX_READ_ANSWER_BYTES = 2 * 1024 * 1024
/** Number of VMs whose requests are remembered; a fleet has at most some hundred, with restarts under new names. */
const MAX_SENDERS = 1_024

export interface ForwardingServerOptions {
  clock: Clock
  logger: Logger
  network: PeerNetwork
  /** Runs a statement at an endpoint; `undefined` if no endpoint of its service is registered. */
  run: (operation: Operation, isWrite: boolean, withdrawal: Withdrawal) => Promise<Outcome | undefined>
  /** Counts the statements of other VMs by what became of them. */
  recordServed: (service: string, result: 'answered' | NotRunReason) => void
}

/** Runs the statements that other VMs forward to this one. */
export class ForwardingServer {
  readonly #options: ForwardingServerOptions
  readonly #logs = new Map<string, RequestLog>()
  /** Statements that run, by their requests. */
  readonly #running = new Map<string, Withdrawal>()
  #runningBytes = 0
  #isStopping = false

  constructor (options: ForwardingServerOptions) {
    this.#options = options
  }

  /** Refuses further statements as not run, and waits until those that were accepted are answered. */
  async stop (pause: () => Promise<void>): Promise<void> {
    this.#isStopping = true
    while (this.#running.size > 0) await pause()
  }

  handleMessage (from: Hello, message: Extract<ServingMessage, { type: 'run' | 'inquiry' | 'withdraw' }>): void {
    const log = this.#findLog(from)
    // A message of an earlier start was late; nobody waits for its answer.
    if (message.incarnation !== log.incarnation) return
    if (message.type === 'inquiry') this.#handleInquiry(from.vm, log, message.request)
    else if (message.type === 'withdraw') this.#handleWithdrawal(from.vm, log, message.request)
    else if (addRequest(log, message.request)) this.#admit(from, log, message)
    else this.#options.logger.warn('repeated statement of another vm not run', { id: message.statement.id, vm: from.vm, request: message.request })
  }

  /** Tells whether a statement runs. One that has not arrived will not be run: its sender is told so, and may run it elsewhere. */
  #handleInquiry (vm: string, log: RequestLog, request: number): void {
    const { incarnation } = log
    if (addRequest(log, request)) this.#send(vm, { type: 'notRun', incarnation, request, reason: 'notReceived' })
    else this.#send(vm, { type: 'status', incarnation, request, isRunning: this.#running.has(formatRequest(vm, incarnation, request)) })
  }

  /** Has a read that still waits for a connection run nowhere. One that has not arrived will not be run. */
  #handleWithdrawal (vm: string, log: RequestLog, request: number): void {
    const running = this.#running.get(formatRequest(vm, log.incarnation, request))
    this.#options.logger.info('read of another vm withdrawn', { vm, request, isRunning: running !== undefined })
    if (running === undefined) return this.#handleInquiry(vm, log, request)
    running.withdraw()
  }

  #admit (from: Hello, log: RequestLog, message: RunMessage): void {
    const { clock } = this.#options
    const nowMs = clock.readNow()
    const elapsedMs = message.elapsedMs + measureExcessDelayMs(log, message.sentAtMs, nowMs)
    if (message.servingIncarnation !== this.#options.network.self.incarnation) return this.#refuse(from.vm, message, 'restarted')
    if (this.#isStopping) return this.#refuse(from.vm, message, 'draining')
    if (this.#running.size >= MAX_RUNNING || this.#runningBytes >= MAX_RUNNING_BYTES) return this.#refuse(from.vm, message, 'overloaded')
    if (elapsedMs >= message.route.statementTimeoutMs) return this.#refuse(from.vm, message, 'expired')
    const operation = decodeOperation(message, `${from.vm}@${from.incarnation}`, nowMs - elapsedMs)
    const key = formatRequest(from.vm, message.incarnation, message.request)
    const bytes = estimateBytes(operation)
    const withdrawal = new Withdrawal()
    this.#running.set(key, withdrawal)
    this.#runningBytes += bytes
    this.#runAndRespond(from.vm, message, operation, { startedAtMs: nowMs, withdrawal })
      .catch((error: unknown) => {
        this.#options.logger.error('statement of another vm failed', { id: message.statement.id, vm: from.vm, error: error instanceof Error ? error.stack : String(error) })
        this.#send(from.vm, { type: 'status', incarnation: message.incarnation, request: message.request, isRunning: false })
      })
      .finally(() => {
        this.#running.delete(key)
        this.#runningBytes -= bytes
      })
  }

  async #runAndRespond (
    vm: string,
    message: RunMessage,
    operation: Operation,
    { startedAtMs, withdrawal }: { startedAtMs: number, withdrawal: Withdrawal }
  ): Promise<void> {
    const { clock, logger, run, recordServed } = this.#options
    const { incarnation, request, isWrite, route: { service } } = message
    const outcome = await run(operation, isWrite, withdrawal)
    if (outcome === undefined) return this.#refuse(vm, message, 'unknownService')
    if ('refusal' in outcome && outcome.isUnreachable === true) return this.#refuse(vm, message, 'endpointUnreachable')
    if (!isWrite && countAnswerBytes(outcome) > MAX_READ_ANSWER_BYTES) return this.#refuse(vm, message, 'answerTooLarge')
    recordServed(service, 'answered')
    const workMs = Math.max(0, clock.readNow() - startedAtMs)
    logger.info('statement of another vm answered', { id: message.statement.id, vm, service, workMs: Math.round(workMs), elapsedMs: Math.round(clock.readNow() - operation.receivedAtMs), outcome: readOutcomeCode(outcome) })
    if ('refusal' in outcome) return this.#send(vm, { type: 'outcome', incarnation, request, parts: 0, workMs, outcome })
    const parts = buildParts(outcome.response.rows)
    for (const [part, rows] of parts.slice(0, -1).entries()) this.#send(vm, { type: 'part', incarnation, request, part, rows })
    this.#send(vm, { type: 'outcome', incarnation, request, parts: parts.length - 1, workMs, outcome: { ...outcome, response: { ...outcome.response, rows: parts.at(-1)! } } })
  }

  #refuse (vm: string, { incarnation, request, statement, route }: RunMessage, reason: NotRunReason): void {
    this.#options.recordServed(route.service, reason)
    this.#options.logger.info('statement of another vm refused', { id: statement.id, vm, service: route.service, reason })
    this.#send(vm, { type: 'notRun', incarnation, request, reason })
  }

  #findLog ({ vm, incarnation }: Hello): RequestLog {
    const known = this.#logs.get(vm)
    const isKnown = known !== undefined && known.incarnation >= incarnation
    const log = isKnown ? known : createRequestLog(incarnation, this.#options.clock.readNow())
    // The VM that was heard of last comes last.
    this.#logs.delete(vm)
    this.#logs.set(vm, log)
    if (this.#logs.size > MAX_SENDERS) this.#removeSender()
    return log
  }

  /** Forgets the VM that was not heard of for the longest time, but none whose statements run: it would be told that they were not received. */
  #removeSender (): void {
    const running = [...this.#running.keys()]
    const forgotten = [...this.#logs.keys()].find(vm => !running.some(key => key.startsWith(`${vm}@`)))
    if (forgotten !== undefined) this.#logs.delete(forgotten)
  }

  #send (vm: string, message: ServingMessage): void {
    this.#options.network.send(vm, SERVING_SLICE, message)
  }
}

function formatRequest (vm: string, incarnation: number, request: number): string {
  return `${vm}@${incarnation}/${request}`
}

function readOutcomeCode (outcome: Outcome): string {
  const error = 'refusal' in outcome ? outcome.refusal : outcome.response.error
  return error?.code ?? 'answered'
}
