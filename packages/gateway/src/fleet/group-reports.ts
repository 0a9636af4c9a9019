import { addSample, LEADER_LEASE_MS, recordAcknowledgedPosition, recordLeadership } from '../freshness/group-state.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { GroupReport } from './message-schemas.ts'

/** Measures the age of an event in whole milliseconds, rounded up; `null` for one that has not happened (`-Infinity`). */
function measureAgeMs (atMs: number, nowMs: number): number | null {
  return atMs === -Infinity ? null : Math.ceil(Math.max(0, nowMs - atMs))
}

/** Describes what this VM knows about a group; `undefined` while it knows no primary. */
export function createGroupReport (group: ServiceGroup, nowMs: number): GroupReport | undefined {
  const { primary, leadershipLeaseEndsMs, samples, acknowledged, acknowledgedAtMs, lastResponseAtMs } = group.state
  if (primary === null) return undefined
  const newestSample = samples[0]
  return {
    service: group.service,
    primary: primary.endpoint,
    term: primary.term,
    leadershipAgeMs: measureAgeMs(leadershipLeaseEndsMs - LEADER_LEASE_MS, nowMs),
    sample: newestSample === undefined ? null : { ageMs: Math.ceil(nowMs - newestSample.atMs), position: newestSample.position },
    acknowledged,
    acknowledgedAgeMs: measureAgeMs(acknowledgedAtMs, nowMs),
    primaryResponseAgeMs: measureAgeMs(lastResponseAtMs, nowMs),
    pendingWriteAgeMs: group.unansweredWriteSinceMs === null ? 0 : Math.max(0, Math.floor(nowMs - group.unansweredWriteSinceMs))
  }
}

/** Whether a report tells of a later primary than is known, or of another one for its term. */
function hasNews ({ state: { primary }, formerPrimary }: ServiceGroup, report: GroupReport): boolean {
  const latestTerm = (primary ?? formerPrimary)?.term ?? 0
  return report.term > latestTerm || (primary?.term === report.term && primary.endpoint !== report.primary)
}

/**
 * Applies what another VM reports about a group.
 *
 * The report was created after the poll was sent at `pollSentAtMs`. An event of a given age therefore happened no
 * earlier than that age before `pollSentAtMs`. This earliest time is used for every event, so that a proof of
 * leadership looks older than it is, never younger.
 */
export function applyGroupReport (group: ServiceGroup, vm: string, report: GroupReport, pollSentAtMs: number): void {
  const { state } = group
  if (hasNews(group, report)) group.adoptPrimary(report.primary, report.term, `vm ${vm}`)
  if (state.primary?.endpoint !== report.primary) return
  if (report.acknowledged !== null) recordAcknowledgedPosition(state, report.acknowledged)
  if (state.primary.term !== report.term) return
  if (report.leadershipAgeMs !== null) recordLeadership(state, report.primary, pollSentAtMs - report.leadershipAgeMs)
  if (report.sample !== null) addSample(state, { atMs: pollSentAtMs - report.sample.ageMs, position: report.sample.position })
  group.peers.set(vm, {
    lastResponseAtMs: pollSentAtMs - (report.primaryResponseAgeMs ?? Infinity),
    acknowledgedAtMs: pollSentAtMs - (report.acknowledgedAgeMs ?? Infinity),
    pendingWriteMs: report.pendingWriteAgeMs,
    reportedAtMs: pollSentAtMs
  })
  if (report.leadershipAgeMs !== null) group.publishChange()
}
