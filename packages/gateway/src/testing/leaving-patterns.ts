import type { LeavingPattern } from './leaving-simulation.ts'

const PERIOD_S = 15
const computeWave = (atS: number): number => Math.sin(2 * Math.PI * atS / PERIOD_S)
const endpoints = [{ domain: 'a1' }, { domain: 'a2' }, { domain: 'b1' }]
const movingDemand = { a1: (atS: number) => 0.75 + 0.4 * computeWave(atS), a2: (atS: number) => 0.75 - 0.4 * computeWave(atS), b1: () => 0.5 }

/** The patterns of docs/design/overview.md, part F, and the same without reports and where a whole region has too few endpoints. */
export const leavingPatterns: Record<string, LeavingPattern> = {
  'too few endpoints at home': { endpoints, readDemand: { a1: () => 1.3, a2: () => 0.5, b1: () => 0.5 }, reportAgeMs: 500 },
  'demand that moves between domains in a wave of 15 s': { endpoints, readDemand: movingDemand, reportAgeMs: 500 },
  'a slow endpoint at home': { endpoints: [{ domain: 'a1', readSlowness: atS => atS > 15 && atS < 30 ? 4 : 1 }, { domain: 'a2' }, { domain: 'b1' }], readDemand: { a1: () => 0.6, a2: () => 0.4, b1: () => 0.4 }, reportAgeMs: 500 },
  'an idle endpoint far away': { endpoints: [{ domain: 'a1' }, { domain: 'b1' }], readDemand: { a1: () => 0.8, b1: () => 0.02 }, reportAgeMs: 500 },
  'reports 2 s old': { endpoints, readDemand: movingDemand, reportAgeMs: 2_000 },
  'too few endpoints in the region': { endpoints: [{ domain: 'a1' }, { domain: 'a2' }, { domain: 'b1' }, { domain: 'b1' }], readDemand: { a1: () => 1.2, a2: () => 1.2, b1: () => 0.5 }, reportAgeMs: 2_000 },
  'too few endpoints in the region, no reports': { endpoints: [{ domain: 'a1' }, { domain: 'a2' }, { domain: 'b1' }, { domain: 'b1' }], readDemand: { a1: () => 1.2, a2: () => 1.2, b1: () => 0.5 }, reportAgeMs: 0, hasNoReports: true },
  'demand that moves, no reports': { endpoints, readDemand: movingDemand, reportAgeMs: 0, hasNoReports: true },
  'a domain that returns': { endpoints: [{ domain: 'a1', readSlowness: atS => atS > 15 && atS < 28 ? 0 : 1 }, { domain: 'a2' }, { domain: 'b1' }], readDemand: { a1: () => 0.6, a2: () => 0.35, b1: () => 0.4 }, reportAgeMs: 500 }
}
