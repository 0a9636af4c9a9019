import { expect } from 'chai'
import { ElapsedClock, type Suspension } from './elapsed-clock.ts'

function createSources (): { monotonicMs: number, wallMs: number, uptimeMs: number, advance: (ms: number) => void, suspend: (ms: number) => void } {
  const sources = {
    monotonicMs: 500,
    wallMs: 1_700_000_000_000,
    uptimeMs: 90_000,
    advance: (ms: number) => {
      sources.monotonicMs += ms
      sources.wallMs += ms
      sources.uptimeMs += ms
    },
    suspend: (ms: number) => {
      sources.wallMs += ms
      sources.uptimeMs += ms
    }
  }
  return sources
}

function createClock (sources: ReturnType<typeof createSources>, suspensions: Suspension[] = []): ElapsedClock {
  const readers = { readMonotonicMs: () => sources.monotonicMs, readWallMs: () => sources.wallMs, readUptimeMs: () => sources.uptimeMs }
  return new ElapsedClock({ ...readers, recordSuspension: suspension => { suspensions.push(suspension) } })
}

describe('elapsed clock', () => {
  it('includes the time for which the VM was suspended', () => {
    const sources = createSources()
    const clock = createClock(sources)
    const before = clock.readNow()
    sources.advance(100)
    sources.suspend(5_000)
    expect(clock.readNow() - before).to.equal(5_100)
  })

  it('ignores jumps of the wall clock, forward or back', () => {
    const sources = createSources()
    const clock = createClock(sources)
    const before = clock.readNow()
    sources.wallMs += 2_400
    sources.advance(50)
    expect(clock.readNow() - before).to.equal(50)
    sources.wallMs -= 4_000
    sources.advance(50)
    expect(clock.readNow() - before).to.equal(100)
  })

  // Guards against a clock that has advanced by seconds without a trace: leases end then, and primaries count as lost.
  it('reports each suspension with what the clocks told, and no jump of the wall clock', () => {
    const sources = createSources()
    const suspensions: Suspension[] = []
    const clock = createClock(sources, suspensions)
    sources.wallMs += 2_400
    clock.readNow()
    expect(suspensions).to.deep.equal([])
    sources.suspend(1_000)
    clock.readNow()
    sources.suspend(3_000)
    sources.wallMs -= 500
    clock.readNow()
    const monotonicMs = sources.monotonicMs
    expect(suspensions).to.deep.equal([
      { suspendedMs: 1_000, wallDriftMs: 1_000, monotonicMs },
      { suspendedMs: 3_000, wallDriftMs: 2_500, monotonicMs }
    ])
  })

  // Seen on tmbcb-stats: 7 to 33 s when the time of day was set back, as the uptime was that of the machine below.
  it('gains no seconds when the wall clock is set back and the uptime is that of another machine', () => {
    const sources = createSources()
    const drifts: number[] = []
    const readers = { readMonotonicMs: () => sources.monotonicMs, readWallMs: () => sources.wallMs, readUptimeMs: () => sources.uptimeMs }
    const clock = new ElapsedClock({ ...readers, recordForeignUptime: driftMs => { drifts.push(driftMs) } })
    const before = clock.readNow()
    for (let second = 0; second < 30; second++) {
      sources.advance(1_000)
      sources.uptimeMs += 500
      clock.readNow()
    }
    sources.wallMs -= 1_220
    expect(clock.readNow() - before).to.equal(30_000)
    expect(drifts).to.deep.equal([500])
  })

  it('includes a suspension when the uptime is that of another machine', () => {
    const sources = createSources()
    const clock = createClock(sources)
    const before = clock.readNow()
    for (let second = 0; second < 3; second++) {
      sources.advance(1_000)
      sources.uptimeMs -= 500
      clock.readNow()
    }
    sources.wallMs += 4_000
    expect(clock.readNow() - before).to.equal(7_000)
  })

  it('never goes backwards when the uptime and the wall clock do', () => {
    const sources = createSources()
    const clock = createClock(sources)
    sources.suspend(1_000)
    const suspendedNowMs = clock.readNow()
    sources.uptimeMs -= 10
    sources.wallMs -= 3_000
    expect(clock.readNow()).to.be.at.least(suspendedNowMs)
  })
})
