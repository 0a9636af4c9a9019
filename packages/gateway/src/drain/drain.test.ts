import { Clock, createLogger } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { SessionActivity } from '../sessions/session-end.ts'
import { drainSessions, finishSessions, type DrainOptions } from './drain.ts'
import { runStopSteps } from './stop-steps.ts'

const logger = createLogger({ process: 'test', level: 'silent' })
const GRACE_MS = 6_000

class VirtualClock extends Clock {
  nowMs = 0
  override readNow (): number { return this.nowMs }
}

class FakeSession {
  activity: SessionActivity = 'inTransaction'
  idleMs = 0
  isEnded = false
  /** Whether its client closes the connection when it is told. */
  closesWhenTold = true
  timeoutMs = 0
  isTerminated = false
  isDestroyed = false
  isStartupRefused = false
  get isBusy (): boolean { return this.activity === 'busy' || this.activity === 'inTransaction' }
  end ({ computeTimeoutMs }: { computeTimeoutMs: () => number }): void {
    if (this.isBusy) return
    this.timeoutMs ||= computeTimeoutMs()
    this.isEnded ||= this.closesWhenTold
    this.activity = 'closing'
  }

  endTransaction (): void { if (this.activity === 'inTransaction') this.activity = 'idle' }
  refuseStartup (): void { this.isStartupRefused = true }
  stopAdmission (): void { if (this.activity !== 'busy') this.isEnded ||= this.closesWhenTold }
  terminate (): void { this.isTerminated = true }
  destroy (): void { this.isDestroyed = this.isEnded = true }
}

function createSession (values: Partial<FakeSession>): FakeSession {
  return Object.assign(new FakeSession(), values)
}

/** Runs `step` while `runClients` does what the clients do at each time. @returns when the step ended, in milliseconds */
async function runStep (step: (options: DrainOptions) => Promise<void>, sessions: Set<FakeSession>, runClients: (nowMs: number) => void = () => {}, startMs = 0): Promise<number> {
  const clock = new VirtualClock()
  clock.nowMs = startMs
  const pause = async (ms: number): Promise<void> => {
    clock.nowMs += ms
    runClients(clock.nowMs)
    for (const s of sessions) if (s.isEnded) sessions.delete(s)
  }
  await step({ clock, logger, startedAtMs: 0, graceMs: GRACE_MS, listSessions: () => [...sessions], pause })
  return clock.nowMs
}

describe('drain', () => {
  it('refuses connections that have not started a session in the second half of the grace period', async () => {
    const sessions = new Set([createSession({ activity: 'busy' })])
    const late = [2_400, 3_600].map(() => createSession({ activity: 'notStarted' }))
    await runStep(drainSessions, sessions, nowMs => {
      if (nowMs === 2_400) sessions.add(late[0]!)
      if (nowMs === 2_900) expect(late[0]!.isStartupRefused).to.equal(false)
      if (nowMs === 3_600) sessions.add(late[1]!)
    })
    expect(late[1]!.isStartupRefused).to.equal(true)
  })

  it('serves a client that connects shortly before the drain would have ended', async () => {
    const sessions = new Set<FakeSession>()
    const lateSession = new FakeSession()
    const endedAtMs = await runStep(drainSessions, sessions, nowMs => {
      if (nowMs === 2_150) sessions.add(lateSession)
      if (nowMs === 3_050) lateSession.isEnded = true
    })
    expect(lateSession.isEnded).to.equal(true)
    expect(endedAtMs).to.be.greaterThan(3_050)
  })

  it('keeps idle sessions open until the load balancer has removed the VM', async () => {
    const idleSession = createSession({ activity: 'idle', idleMs: 10_000 })
    let endedAtMs = 0
    await runStep(drainSessions, new Set([idleSession]), nowMs => { if (idleSession.isEnded && endedAtMs === 0) endedAtMs = nowMs })
    expect(endedAtMs).to.be.greaterThan(2_000)
  })

  it('ends an open transaction after half of the grace period', async () => {
    const busySession = new FakeSession()
    let endedAtMs = 0
    await runStep(drainSessions, new Set([busySession]), nowMs => { if (!busySession.isBusy && endedAtMs === 0) endedAtMs = nowMs })
    expect(endedAtMs).to.be.within(3_000, 3_100)
  })

  it('gives a client that was told half of the time that is left to close its connection', async () => {
    const session = createSession({ activity: 'idle', idleMs: 10_000, closesWhenTold: false })
    await runStep(drainSessions, new Set([session]))
    expect(session.timeoutMs).to.be.within(1_000, 2_000)
  })

  it('ends soon after its last session', async () => {
    const sessions = new Set([createSession({ activity: 'idle', idleMs: 10_000 }), createSession({ activity: 'notStarted', idleMs: 10_000 })])
    expect(await runStep(drainSessions, sessions)).to.be.below(3_000)
  })

  it('leaves time to finish for the sessions that do not end', async () => {
    expect(await runStep(drainSessions, new Set([createSession({ activity: 'busy' })]))).to.be.below(GRACE_MS - 500)
  })
})

describe('last part of a stop', () => {
  it('waits for a running statement, and does not terminate its session', async () => {
    const session = createSession({ activity: 'busy' })
    await runStep(finishSessions, new Set([session]), nowMs => { if (nowMs >= 5_300) session.activity = 'idle' }, 5_100)
    expect(session.isTerminated).to.equal(false)
  })

  it('answers statements that do not end in time, and ends connections that do not close, before the process is killed', async () => {
    const sessions = [createSession({ activity: 'busy' }), createSession({ activity: 'closing', closesWhenTold: false })]
    expect(await runStep(finishSessions, new Set(sessions), () => {}, 5_100)).to.be.below(GRACE_MS - 200)
    expect(sessions.map(s => s.isTerminated && s.isDestroyed)).to.deep.equal([true, true])
  })

  it('does not wait for a step that does not end before the process is killed', async () => {
    const clock = new VirtualClock()
    clock.nowMs = GRACE_MS - 500
    const startedAtMs = performance.now()
    await runStopSteps({ clock, logger, startedAtMs: 0, graceMs: GRACE_MS }, { 'fleet left': async () => await new Promise(() => {}), 'links closed': async () => { throw new Error('no link') } })
    expect(performance.now() - startedAtMs).to.be.below(300)
  })
})
