import type { EndpointConnection, EndpointStatus } from '../backend/endpoint-connector.ts'
import type { Attempt } from './promotion-attempt.ts'

/** A command to resume that was sent and not answered is executed within this time, or never. */
const RESUME_LIFETIME_MS = 5_000

/** Has a replica receive log entries again, and counts the command as unanswered until the replica responds. */
export async function resumeEndpoint (attempt: Attempt, connection: EndpointConnection): Promise<EndpointStatus | null> {
  attempt.unansweredResumes++
  const status = await connection.resume()
  attempt.unansweredResumes--
  return status
}

/**
 * Computes until when an unanswered command to resume of the attempt, or of an earlier one, may still be executed. It would end a later
 * pause, so no replica is paused for a promotion before.
 *
 * @param nowMs time on the wall clock
 * @returns time on the wall clock
 */
export function computeResumedUntil ({ unansweredResumes, claim }: Pick<Attempt, 'unansweredResumes' | 'claim'>, nowMs: number): number {
  return unansweredResumes > 0 ? nowMs + RESUME_LIFETIME_MS : claim.resumedUntilMs
}
