import { Clock, createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
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
  closeWhenIdle (): void { if (!this.isBusy) this.isEnded = true }
  endTransaction (): void { this.isBusy = false }
}

/** Drains while `step` says what clients do at each moment. @returns when the drain ended, in milliseconds */
async function runDrain (sessions: Set<FakeSession>, step: (nowMs: number) => void): Promise<number> {
  const clock = new VirtualClock()
  const pause = async (ms: number): Promise<void> => {
    clock.nowMs += ms
    step(clock.nowMs)
    for (const s of sessions) if (s.isEnded) sessions.delete(s)
  }
  await drainSessions({ clock, logger, graceMs: 6_000, listSessions: () => [...sessions], pause })
  return clock.nowMs
}

describe('drain', () => {
  it('serves a client that connects just as the VM was about to end', async () => {
    const sessions = new Set<FakeSession>()
    const late = new FakeSession()
    const endedAtMs = await runDrain(sessions, nowMs => {
      if (nowMs === 2_150) sessions.add(late)
      if (nowMs === 3_050) late.isEnded = true
    })
    expect(late.isEnded).to.equal(true)
    expect(endedAtMs).to.be.greaterThan(3_050)
  })

  it('keeps idle sessions until the balancer has taken the VM out', async () => {
    const idle = new FakeSession()
    idle.isBusy = false
    idle.idleMs = 10_000
    const sessions = new Set([idle])
    let closedAtMs = 0
    await runDrain(sessions, nowMs => { if (idle.isEnded && closedAtMs === 0) closedAtMs = nowMs })
    expect(closedAtMs).to.be.greaterThan(2_000)
  })

  it('gives an open transaction half of the grace period', async () => {
    const open = new FakeSession()
    const sessions = new Set([open])
    let endedAtMs = 0
    await runDrain(sessions, nowMs => { if (!open.isBusy && endedAtMs === 0) endedAtMs = nowMs })
    expect(endedAtMs).to.be.within(3_000, 3_100)
  })
})
