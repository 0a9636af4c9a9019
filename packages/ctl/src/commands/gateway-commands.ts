import { describeError, gatewayStatusSchema, type GatewayStatus } from '@camphorpitch/wire'
import { Command, Option } from 'clipanion'
import { ExitCode } from '../errors.ts'

/** Longest wait for a gateway's answer, in milliseconds; one that takes longer would not serve clients either. */
const RESPONSE_TIMEOUT_MS = 2_000
/** Workspaces shown for each gateway; `--json` shows all that it names. */
const MAX_SHOWN_WORKSPACES = 5
const PERCENT = 100

type StatusResult = { address: string, status: GatewayStatus } | { address: string, error: string }

/** Shows what gateways believe, from their metrics addresses; asks nothing of the platform's store. */
class GatewaysCommand extends Command {
  static override paths = [['gateways']]
  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'Shows what gateways believe: versions, primaries, terms, positions, use of limits, doubtful endpoints.',
    details: `Exit codes: ${ExitCode.ok} all answered, ${ExitCode.unknown} one or more did not.`,
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
    if (!response.ok) return { address, error: `status ${response.status}` }
    const parsed = gatewayStatusSchema.safeParse(await response.json())
    return parsed.success ? { address, status: parsed.data } : { address, error: `not a gateway's status: ${parsed.error.issues[0]?.path.join('.') ?? ''}` }
  } catch (error) {
    const cause = error instanceof Error && error.cause instanceof Error ? error.cause : error
    return { address, error: describeError(cause) }
  }
}

function describeResult (result: StatusResult): string[] {
  if ('error' in result) return [`${result.address}  no answer: ${result.error}`]
  const { vm, isReady, configurationVersion, vms, sessions, services, workspaces } = result.status
  return [
    `${vm}  ${isReady ? 'ready' : 'not ready'}  configuration ${configurationVersion}  hears ${vms.heard} of ${vms.known} vms  ${sessions} sessions`,
    ...services.map(describeService),
    ...workspaces.slice(0, MAX_SHOWN_WORKSPACES).map(w => `  workspace ${w.workspace}  asks for ${Math.round(w.demand)} of ${Math.round(w.allowed)} in a window  part ${Math.round(w.share * PERCENT)}%`)
  ]
}

function describeService ({ service, primary, term, isTrusted, acknowledged, endpoints, doubtful }: GatewayStatus['services'][number]): string {
  const primaryText = primary === null ? 'no primary' : `primary ${primary} term ${term}${isTrusted ? '' : ' (not proven now)'}`
  const positionText = acknowledged === null ? '' : `  acknowledged ${acknowledged.term}/${acknowledged.index}`
  const doubtsText = doubtful.map(d => `  ${d.endpoint}: ${d.doubts.join(', ')}`).join('')
  return `  service ${service}  ${primaryText}${positionText}  ${endpoints} endpoints${doubtsText}`
}

export const gatewayCommands = [GatewaysCommand]
