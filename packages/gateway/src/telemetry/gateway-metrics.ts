import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const STATEMENT_BUCKETS_SECONDS = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3]

/** The metrics of one VM's gateway. */
export interface GatewayMetrics {
  registry: Registry
  statementSeconds: Histogram<'service' | 'outcome'>
  refusals: Counter<'service' | 'code'>
  /** `demand` tells whether the fleet's reported demand was below the limit. */
  quotaRefusals: Counter<'workspace' | 'demand'>
  uncountedRefusals: Counter
  ruledOutRefusals: Counter<'service' | 'reason'>
  evacuatedDomains: Gauge
  readsByDistance: Counter<'service' | 'distance'>
  unleasedResponses: Counter<'service' | 'outcome'>
  restoreRefusals: Counter<'service' | 'code'>
  connectionsOpened: Counter<'service'>
  forwardingDecisions: Counter<'service' | 'place' | 'reason'>
  servedStatements: Counter<'service' | 'result'>
  warmupRequests: Counter<'service' | 'outcome'>
  waitRefusals: Counter<'service' | 'reason'>
  promotions: Counter<'service' | 'result'>
  unexpectedErrors: Counter<'origin'>
  sessions: Gauge
  sessionEnds: Counter<'cause'>
  unansweredStatements: Counter<'cause'>
  inputRefusals: Counter<'reason'>
  /** Sets from where the bytes of clients' input are read. */
  observeInputBytes: (readBytes: () => number) => void
  configurationVersion: Gauge
  storeEpochChanges: Counter
}

/** Creates the metrics with a registry of their own. */
export function createGatewayMetrics (): GatewayMetrics {
  const registry = new Registry()
  const registers = [registry]
  let readInputBytes = (): number => 0
  const inputBytes: Gauge = new Gauge({
    name: 'camphorpitch_gateway_input_bytes',
    help: 'Bytes of clients\' input that wait or run',
    registers,
    collect: (): void => inputBytes.set(readInputBytes())
  })
  return {
    registry,
    statementSeconds: new Histogram({ name: 'camphorpitch_gateway_statement_seconds', help: 'Time from a statement to its answer', labelNames: ['service', 'outcome'], buckets: STATEMENT_BUCKETS_SECONDS, registers }),
    refusals: new Counter({ name: 'camphorpitch_gateway_refusals_total', help: 'Statements answered with an error, by code', labelNames: ['service', 'code'], registers }),
    quotaRefusals: new Counter({ name: 'camphorpitch_gateway_quota_refusals_total', help: 'Operations refused for the workspace\'s rate, by whether its demand on the fleet was below the limit', labelNames: ['workspace', 'demand'], registers }),
    uncountedRefusals: new Counter({ name: 'camphorpitch_gateway_uncounted_refusals_total', help: 'Operations refused as no VM that counts the workspace\'s rate answered', registers }),
    ruledOutRefusals: new Counter({ name: 'camphorpitch_gateway_ruled_out_refusals_total', help: 'Operations refused as evacuations or allowed regions rule out every endpoint that could run them', labelNames: ['service', 'reason'], registers }),
    evacuatedDomains: new Gauge({ name: 'camphorpitch_gateway_evacuated_domains', help: 'Failure domains that are evacuated', registers }),
    readsByDistance: new Counter({ name: 'camphorpitch_gateway_reads_by_distance_total', help: 'Reads sent to endpoints in the own failure domain, in the own region, and in other regions', labelNames: ['service', 'distance'], registers }),
    restoreRefusals: new Counter({
      name: 'camphorpitch_gateway_restore_refusals_total',
      help: 'Commands that give a connection the state of a session and that an endpoint refused, by code',
      labelNames: ['service', 'code'],
      registers
    }),
    unleasedResponses: new Counter({ name: 'camphorpitch_gateway_unleased_responses_total', help: 'Responses to writes and commits that arrived while the primary\'s leadership was revoked or not verified, by what became of them', labelNames: ['service', 'outcome'], registers }),
    connectionsOpened: new Counter({ name: 'camphorpitch_gateway_connections_opened_total', help: 'Connections opened to endpoints', labelNames: ['service'], registers }),
    forwardingDecisions: new Counter({ name: 'camphorpitch_gateway_forwarding_total', help: 'Single statements of services with serving VMs, by where they ran and why, and forwarded ones that were not run or not answered', labelNames: ['service', 'place', 'reason'], registers }),
    servedStatements: new Counter({ name: 'camphorpitch_gateway_served_statements_total', help: 'Statements forwarded by other VMs, by what became of them', labelNames: ['service', 'result'], registers }),
    warmupRequests: new Counter({ name: 'camphorpitch_gateway_warmup_requests_total', help: 'Requests to endpoints that are warming up, by whether they were permitted', labelNames: ['service', 'outcome'], registers }),
    waitRefusals: new Counter({ name: 'camphorpitch_gateway_wait_refusals_total', help: 'Requests that got no connection to an endpoint, by reason', labelNames: ['service', 'reason'], registers }),
    promotions: new Counter({ name: 'camphorpitch_gateway_promotions_total', help: 'Promotions attempted by this VM', labelNames: ['service', 'result'], registers }),
    unexpectedErrors: new Counter({ name: 'camphorpitch_gateway_unexpected_errors_total', help: 'Errors that no code has handled: promises that were rejected, and exceptions, after which the process stops', labelNames: ['origin'], registers }),
    sessions: new Gauge({ name: 'camphorpitch_gateway_sessions', help: 'Open client sessions', registers }),
    sessionEnds: new Counter({ name: 'camphorpitch_gateway_session_ends_total', help: 'Ended client sessions, by cause', labelNames: ['cause'], registers }),
    unansweredStatements: new Counter({ name: 'camphorpitch_gateway_unanswered_statements_total', help: 'Statements received but not answered when their session ended, by cause', labelNames: ['cause'], registers }),
    inputRefusals: new Counter({
      name: 'camphorpitch_gateway_input_refusals_total',
      help: 'Input of clients refused as it takes too much memory, by whether a message was not taken or the session was ended',
      labelNames: ['reason'],
      registers
    }),
    observeInputBytes: readBytes => { readInputBytes = readBytes },
    configurationVersion: new Gauge({ name: 'camphorpitch_gateway_configuration_version', help: 'Version in force', registers }),
    storeEpochChanges: new Counter({ name: 'camphorpitch_gateway_store_epoch_changes_total', help: 'Times that the metadata store returned from an older copy', registers })
  }
}
