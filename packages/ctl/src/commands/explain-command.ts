import { describeError, explainedKinds, statementExplanationSchema, type StatementExplanation } from '@camphorpitch/wire'
import { Command, Option } from 'clipanion'
import { z } from 'zod'
import { ExitCode } from '../errors.ts'

/** A gateway that takes longer to respond would not serve clients either. */
const RESPONSE_TIMEOUT_MS = 2_000
const PERCENT = 100
const DISTANCE_NAMES = ['own domain', 'own region', 'other region']
const errorSchema = z.object({ error: z.string() })

/** The request of an explanation failed, and with which exit code the command ends. */
interface Failure { error: string, exitCode: number }

/** Explains where a statement would go, as one gateway sees it; does not use the object service. */
class ExplainCommand extends Command {
  static override paths = [['explain']]
  static override usage = Command.Usage({
    category: 'Fleet',
    description: 'Explains where a statement of a workspace would go now and why, as one gateway sees it. Sends nothing to an endpoint.',
    details: `KIND is one of ${explainedKinds.join(', ')}. Exit codes: ${ExitCode.ok} explained, also if the statement would be refused, ${ExitCode.badInput} bad input, ${ExitCode.notFound} the gateway does not know a name, ${ExitCode.unknown} it did not respond with an explanation.`,
    examples: [['A read', 'camphorpitch explain 10.0.0.5:9464 lab orders read']]
  })

  address = Option.String({ required: true, name: 'HOST:PORT' })
  workspace = Option.String({ required: true, name: 'WORKSPACE' })
  database = Option.String({ required: true, name: 'DATABASE' })
  kind = Option.String({ required: true, name: 'KIND' })
  json = Option.Boolean('--json', false, { description: 'print JSON' })

  async execute (): Promise<number> {
    const result = await requestExplanation(this.address, this.workspace, this.database, this.kind)
    if ('error' in result) {
      this.context.stderr.write(`${result.error}\n`)
      return result.exitCode
    }
    this.context.stdout.write(`${this.json ? JSON.stringify(result, null, 2) : describeExplanation(result).join('\n')}\n`)
    return ExitCode.ok
  }
}

async function requestExplanation (address: string, workspace: string, database: string, kind: string): Promise<StatementExplanation | Failure> {
  if (!explainedKinds.some(k => k === kind)) return { error: `unknown kind ${kind}, expected ${explainedKinds.join(', ')}`, exitCode: ExitCode.badInput }
  if (!/^[^/?#@\s]+:\d{1,5}$/.test(address)) return { error: `${address} is not HOST:PORT`, exitCode: ExitCode.badInput }
  let status: number
  let body: unknown
  try {
    const response = await fetch(`http://${address}/explain?${new URLSearchParams({ workspace, database, kind }).toString()}`, { signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS) })
    status = response.status
    const text = await response.text()
    body = response.headers.get('content-type')?.includes('json') === true ? JSON.parse(text) : undefined
  } catch (error) {
    const cause = error instanceof Error && error.cause instanceof Error ? error.cause : error
    return { error: `${address}: ${describeError(cause)}`, exitCode: ExitCode.unknown }
  }
  const refused = errorSchema.safeParse(body)
  if (refused.success) return { error: `${address}: ${refused.data.error}`, exitCode: status === 404 ? ExitCode.notFound : status === 400 ? ExitCode.badInput : ExitCode.unknown }
  const parsed = statementExplanationSchema.safeParse(body)
  if (!parsed.success) return { error: `${address}: not a valid explanation, HTTP status ${status} (the gateway may be older than this command)`, exitCode: ExitCode.unknown }
  return parsed.data
}

function describeExplanation (explanation: StatementExplanation): string[] {
  const { vm, workspace, database, kind, service, configurationVersion, allowedRegions, destinations, requiredPosition, refusal, candidates, ruledOut, evacuations, primary, leaving } = explanation
  const destinationText = destinations.map(d => `${d.endpoint} (${Math.round(d.share * PERCENT)}%)`).join(', ')
  return [
    `${kind} of ${workspace} on ${database}, as ${vm} sees it: ${refusal === null ? `goes to ${destinationText}` : `is refused: ${refusal}`}`,
    `  service ${service}  configuration ${configurationVersion}  regions ${allowedRegions === undefined ? 'all' : allowedRegions.join(', ') || 'none'}${requiredPosition === null ? '' : `  requires position ${requiredPosition.term}/${requiredPosition.index}`}`,
    primary === null ? '  no primary' : `  primary ${primary.endpoint} term ${primary.term}  ${primary.isWritable ? 'accepts writes' : 'accepts no writes'}  lease ${primary.leaseLeftMs} ms  ${describeAge(primary.responseAgeMs)}`,
    ...leaving === undefined ? [] : [`  leaving ${Math.round(leaving.share * PERCENT)}%  home ${leaving.home.join(', ')}  excess ${leaving.excessMs === null ? 'unknown' : `${Math.round(leaving.excessMs)} ms`}  ${leaving.reportAgeMs === null ? 'no reports of other vms used' : `reports up to ${leaving.reportAgeMs} ms old`}`],
    ...candidates.map(describeCandidate),
    ...ruledOut.map(r => `  ruled out ${r.endpoint} in ${r.failureDomain}: ${r.reason}`),
    ...evacuations.map(e => `  evacuation ${e.domain}  ${e.phase}  known for ${e.learnedAgeMs} ms from ${e.source}`)
  ]
}

function describeCandidate (c: StatementExplanation['candidates'][number]): string {
  const flags = [c.isPrimary && 'primary', c.isDraining && 'draining', c.isAvoided && 'avoided', c.isWarmingUp && 'warming up', c.isLagging && 'lagging', !c.hasIdleConnection && 'no idle connection'].filter(f => f !== false)
  const responseText = c.averageResponseMs === null ? '' : `, average ${c.averageResponseMs} ms`
  return `  candidate ${c.endpoint} in ${c.failureDomain} (${DISTANCE_NAMES[c.distance] ?? c.distance})  estimate ${c.estimatedMs} ms${responseText}, ${describeAge(c.responseAgeMs)}  ${c.running} running and ${c.waiting} waiting for ${c.slots} slots  return time ${c.returnMs} ms${flags.length === 0 ? '' : `  ${flags.join(', ')}`}`
}

function describeAge (ageMs: number | null): string {
  return ageMs === null ? 'no response yet' : `last response ${ageMs} ms ago`
}

export const explainCommands = [ExplainCommand]
