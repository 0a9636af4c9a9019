import type { Logger } from '@camphorpitch/wire'
import { expect } from 'chai'
import { createGatewayMetrics } from '../telemetry/gateway-metrics.ts'
import { recordSessionEnd, type SessionEnd } from './session-end.ts'

const end: SessionEnd = { session: 's', cause: 'drain', version: 7, answered: 2, unanswered: 0, unansweredIds: [], input: { incompleteBytes: 3, sinceLastByteMs: 40 } }

describe('record of a session\'s end', () => {
  it('counts statements that were not answered, and warns of them unless the client ended the session itself', async () => {
    const lines: Array<{ level: string, message: string, values: Record<string, unknown> }> = []
    const logger = { log: (level: string, message: string, values: Record<string, unknown>) => { lines.push({ level, message, values }) } } as unknown as Logger
    const metrics = createGatewayMetrics()
    recordSessionEnd(end, logger, metrics)
    recordSessionEnd({ ...end, unanswered: 300, unansweredIds: ['q1', 'q2'] }, logger, metrics)
    recordSessionEnd({ ...end, cause: 'clientClosed', unanswered: 1, unansweredIds: ['q3'] }, logger, metrics)
    expect(lines.map(l => l.level)).to.deep.equal(['info', 'warn', 'info'])
    expect(lines[0]!.values).to.deep.equal({ session: 's', cause: 'drain', version: 7, answered: 2, unanswered: 0, unansweredIds: [], incompleteBytes: 3, sinceLastByteMs: 40 })
    expect(lines[1]!.values).to.deep.include({ unanswered: 300, unansweredIds: ['q1', 'q2'] })
    expect((await metrics.sessionEnds.get()).values[0]).to.include({ value: 2 })
    expect((await metrics.unansweredStatements.get()).values[0]).to.include({ value: 300 })
  })
})
