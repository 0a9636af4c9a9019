import { addSample, LEADER_LEASE_MS, recordAcknowledged, recordLeadership } from '../freshness/group-state.ts'
import type { ServiceGroup } from '../groups/service-group.ts'
import type { GroupReport } from './messages.ts'

/** Age of something in whole milliseconds, rounded up; `null` for what never was. */
function measureAge (atMs: number, nowMs: number): number | null {
  return atMs === -Infinity ? null : Math.ceil(Math.max(0, nowMs - atMs))
}

/** Describes what this VM knows of a group; `undefined` while it knows no primary. */
export function createGroupReport (group: ServiceGroup, nowMs: number): GroupReport | undefined {
  const { primary, trustEndsMs, samples, acknowledged, acknowledgedAtMs, heardAtMs } = group.state
  if (primary === null) return undefined
  const newest = samples[0]
  return {
    service: group.service,
    primary: primary.endpoint,
    term: primary.term,
    leadershipAgeMs: measureAge(trustEndsMs - LEADER_LEASE_MS, nowMs),
    sample: newest === undefined ? null : { ageMs: Math.ceil(nowMs - newest.atMs), position: newest.position },
    acknowledged,
    acknowledgedAgeMs: measureAge(acknowledgedAtMs, nowMs),
    heardAgeMs: measureAge(heardAtMs, nowMs),
    pendingWriteMs: group.unansweredWriteSinceMs === null ? 0 : Math.max(0, Math.floor(nowMs - group.unansweredWriteSinceMs))
  }
}

/**
 * Takes in what another VM reports.
 *
 * The report was made after `askedAtMs`, so whatever it gives an age for happened no earlier than that age before.
 * That bound is used throughout: it makes proofs look older than they are, never younger.
 */
export function applyGroupReport (group: ServiceGroup, vm: string, report: GroupReport, askedAtMs: number): void {
  const { state } = group
  const isNewer = state.primary === null ? report.term > 0 : report.term > state.primary.term
  if (isNewer) group.adoptPrimary(report.primary, report.term, `vm ${vm}`)
  if (state.primary?.endpoint !== report.primary) return
  if (report.leadershipAgeMs !== null) recordLeadership(state, report.primary, askedAtMs - report.leadershipAgeMs)
  if (report.sample !== null) addSample(state, { atMs: askedAtMs - report.sample.ageMs, position: report.sample.position })
  if (report.acknowledged !== null) recordAcknowledged(state, report.acknowledged)
  group.peers.set(vm, {
    heardAtMs: askedAtMs - (report.heardAgeMs ?? Infinity),
    acknowledgedAtMs: askedAtMs - (report.acknowledgedAgeMs ?? Infinity),
    pendingWriteMs: report.pendingWriteMs
  })
}
