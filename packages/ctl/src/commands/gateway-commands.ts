import { describeError, gatewayStatusSchema, type GatewayStatus } from '@camphorpitch/wire'
import { Command, Option } from 'clipanion'
import { ExitCode } from '../errors.ts'

/** A gateway that takes longer to respond would not serve clients either. */
const RESPONSE_TIMEOUT_MS = 2_000
/** Workspaces shown for each gateway; `--json` shows all that its status lists. */
const MAX_SHOWN_WORKSPACES = 5
const PERCENT = 100
const MS_PER_SECOND = 1_000

type StatusResult = { address: string, status: GatewayStatus } | { address: string, error: string }

/** Shows the status that gateways serve at their metrics addresses; does not use the object service. */
class GatewaysCommand extends Command {
  static override paths = [['gateways']]
  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'Shows the status of gateways as each of them sees it: configuration version, primaries, terms, positions, use of limits, doubtful endpoints.',
    details: `Exit codes: ${ExitCode.ok} all gateways responded with a valid status, ${ExitCode.unknown} one or more did not.`,
    examples: [['Two gateways', 'camphorpitch gateways 10.0.0.5:9464 10.0.0.6:9464']]
  })

  addresses = Option.Rest({ required: 1, name: 'HOST:PORT' })
  json = Option.Boolean('--json', false, { description: 'print JSON' })

  async execute (): Promise<number> {
    const results = await Promise.all(this.addresses.map(requestStatus))
    const text = this.json ? JSON.stringify(results, null, 2) : results.flatMap(describeResult).join('\n')
    this.context.stdout.write(`${text}\n`)
    return results.every(r => 'status' in r) ? ExitCode.ok : ExitCode.unknown
  }
}

async function requestStatus (address: string): Promise<StatusResult> {
  try {
    const response = await fetch(`http://${address}/status`, { signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS) })
    if (!response.ok) return { address, error: `HTTP status ${response.status}` }
    const parsed = gatewayStatusSchema.safeParse(await response.json())
    return parsed.success ? { address, status: parsed.data } : { address, error: `not a valid gateway status: ${parsed.error.issues[0]?.path.join('.') ?? ''}` }
  } catch (error) {
    const cause = error instanceof Error && error.cause instanceof Error ? error.cause : error
    return { address, error: describeError(cause) }
  }
}

function describeResult (result: StatusResult): string[] {
  if ('error' in result) return [`${result.address}  status request failed: ${result.error}`]
  const { vm, isReady, configurationVersion, storeEpoch, vms, sessions, evacuations, services, workspaces } = result.status
  return [
    `${vm}  ${isReady ? 'ready' : 'not ready'}  configuration ${configurationVersion}  store epoch ${storeEpoch}  ${vms.heard} of ${vms.known} other vms responsive  ${sessions} sessions`,
    ...evacuations.map(e => `  evacuation ${e.domain}  ${e.phase}  known for ${Math.round(e.learnedAgeMs / MS_PER_SECOND)} s from ${e.source}`),
    ...services.map(describeService),
    ...workspaces.slice(0, MAX_SHOWN_WORKSPACES).map(w => `  workspace ${w.workspace}  demand ${Math.round(w.demand)} of ${Math.round(w.allowed)} operations per window  share ${Math.round(w.share * PERCENT)}%`)
  ]
}

function describeService ({ service, primary, term, isTrusted, acknowledged, endpoints, doubtful }: GatewayStatus['services'][number]): string {
  const primaryText = primary === null ? 'no primary' : `primary ${primary} term ${term}${isTrusted ? '' : ' (leadership not verified)'}`
  const positionText = acknowledged === null ? '' : `  acknowledged ${acknowledged.term}/${acknowledged.index}`
  const doubtsText = doubtful.map(d => `  ${d.endpoint}: ${d.doubts.join(', ')}${d.share == null ? '' : ` (${d.share} requests per second)`}`).join('')
  return `  service ${service}  ${primaryText}${positionText}  ${endpoints} endpoints${doubtsText}`
}

export const gatewayCommands = [GatewaysCommand]
