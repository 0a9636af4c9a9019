import { Clock, createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { SessionActivity } from '../sessions/session-end.ts'
import { drainSessions } from './drain.ts'

const logger = createLogger({ process: 'test', level: 'silent' })

class VirtualClock extends Clock {
  nowMs = 0
  override readNow (): number { return this.nowMs }
}

class FakeSession {
  isBusy = true
  idleMs = 0
  isEnded = false
  get activity (): SessionActivity { return this.isBusy ? 'inTransaction' : 'idle' }
  closeWhenIdle (): void { if (!this.isBusy) this.isEnded = true }
  endTransaction (): void { this.isBusy = false }
}

/** Drains while `runClients` does what the clients do at each time. @returns when the drain ended, in milliseconds */
async function runDrain (sessions: Set<FakeSession>, runClients: (nowMs: number) => void): Promise<number> {
  const clock = new VirtualClock()
  const pause = async (ms: number): Promise<void> => {
    clock.nowMs += ms
    runClients(clock.nowMs)
    for (const s of sessions) if (s.isEnded) sessions.delete(s)
  }
  await drainSessions({ clock, logger, graceMs: 6_000, listSessions: () => [...sessions], pause })
  return clock.nowMs
}

describe('drain', () => {
  it('serves a client that connects shortly before the drain would have ended', async () => {
    const sessions = new Set<FakeSession>()
    const lateSession = new FakeSession()
    const endedAtMs = await runDrain(sessions, nowMs => {
      if (nowMs === 2_150) sessions.add(lateSession)
      if (nowMs === 3_050) lateSession.isEnded = true
    })
    expect(lateSession.isEnded).to.equal(true)
    expect(endedAtMs).to.be.greaterThan(3_050)
  })

  it('keeps idle sessions open until the load balancer has removed the VM', async () => {
    const idleSession = new FakeSession()
    idleSession.isBusy = false
    idleSession.idleMs = 10_000
    const sessions = new Set([idleSession])
    let closedAtMs = 0
    await runDrain(sessions, nowMs => { if (idleSession.isEnded && closedAtMs === 0) closedAtMs = nowMs })
    expect(closedAtMs).to.be.greaterThan(2_000)
  })

  it('ends an open transaction after half of the grace period', async () => {
    const busySession = new FakeSession()
    const sessions = new Set([busySession])
    let endedAtMs = 0
    await runDrain(sessions, nowMs => { if (!busySession.isBusy && endedAtMs === 0) endedAtMs = nowMs })
    expect(endedAtMs).to.be.within(3_000, 3_100)
  })
})
