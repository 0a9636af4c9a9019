import { createSeededRandom } from '@camphorpitch/wire'
import { expect } from 'chai'
import type { ClientTransport } from '../clients/client-listener.ts'
import { PoolError } from '../pool/errors.ts'
import { ClientSession } from '../sessions/client-session.ts'
import { SessionAttempts } from '../statements/session-attempts.ts'
import { ForwardingFleet, route } from '../testing/forwarding-fleet.ts'
import { VirtualTime } from '../testing/virtual-time.ts'

/** Seeds of the random histories, `FIRST-LAST`; a history takes half a second. */
const [FIRST_SEED = 1, LAST_SEED = 10] = (process.env['FORWARDING_SEEDS'] ?? '1-10').split('-').map(Number)
const configuration = { version: 1, routes: [route], services: [], workspaces: [{ name: 'w', keys: ['k'] }], transactionIdleMs: 3_000 }

/** Runs a fleet in virtual time; `entry` does not serve the service, and `first` serves the workspace unless it can't be used. */
async function runFleet (run: (fleet: ForwardingFleet, entry: string, first: string, second: string) => Promise<void>, size?: number): Promise<void> {
  const time = new VirtualTime()
  time.start()
  try {
    const fleet = new ForwardingFleet(time, size)
    const [entry, first, second] = fleet.listNames()
    await run(fleet, entry!, first!, second!)
  } finally {
    time.stop()
  }
}

describe('forwarding of single statements to serving VMs', () => {
  it('runs them on the serving VM with rows and signature unchanged, on connections that stay open', async () => await runFleet(async (fleet, entry, first, second) => {
    for (let i = 0; i < 10; i++) {
      const pending = fleet.run(i % 2 === 0 ? entry : second, `r${i}`, { isWrite: i > 6 })
      await fleet.time.advance(400)
      expect(await pending).to.equal(`row of r${i} signed`)
    }
    expect(fleet.vms.get(first)!.served).to.deep.equal(Array(10).fill('answered'))
    expect(fleet.endpoint.opened).to.equal(1)
  }))

  it('sends nothing in a fleet of nine VMs, or from a VM that does not state its capacity', async () => {
    await runFleet(async (fleet, entry) => {
      const pending = fleet.run(entry, 'r')
      await fleet.time.advance(100)
      expect(await pending).to.equal('row of r signed')
      expect(fleet.sent).to.deep.equal([])
    }, 9)
    await runFleet(async (fleet, entry) => {
      delete fleet.vms.get(entry)!.members.self.capacity
      const pending = fleet.run(entry, 'r')
      await fleet.time.advance(100)
      expect(await pending).to.equal('row of r signed')
      expect(fleet.sent).to.deep.equal([])
    })
  })

  it('never takes sessions of different VMs or starts for one, although their names are equal', async () => await runFleet(async (fleet, entry, first, second) => {
    const runs: Array<[string, Record<string, string>]> = [[entry, { zone: 'a', tag: 'x' }], [second, { zone: 'b' }], [first, {}], [entry, { zone: 'a', tag: 'y' }]]
    for (const [i, [vm, values]] of runs.entries()) {
      const pending = fleet.run(vm, `r${i}`, { values })
      await fleet.time.advance(50)
      await pending
    }
    fleet.startVm(Number(entry.slice(2)), 2)
    const pending = fleet.run(entry, 'r4', { values: { tag: 'z' } })
    await fleet.time.advance(50)
    await pending
    expect(fleet.endpoint.runs.map(r => r.values)).to.deep.equal([...runs.map(([, values]) => values), { tag: 'z' }])
    expect(fleet.endpoint.opened).to.equal(1)
  }))

  for (const { loss, answer, runs } of [{ loss: 'closed' as const, answer: 'inDoubt', runs: 1 }, { loss: 'unreachable' as const, answer: 'row of w signed', runs: 1 }]) {
    it(`answers a write whose link is lost (${loss}) with ${answer}, and runs it at most once`, async () => await runFleet(async (fleet, entry, first) => {
      if (loss === 'unreachable') fleet.vms.delete(first)
      const pending = fleet.run(entry, 'w', { isWrite: true })
      await fleet.time.advance(3)
      if (loss === 'closed') fleet.cutLink(entry, first, loss)
      await fleet.time.advance(3_000)
      expect(await pending).to.equal(answer)
      expect(fleet.countRuns('w')).to.equal(runs)
    }))
  }

  it('runs a write here that was lost on the way, and not again when it arrives late', async () => await runFleet(async (fleet, entry, first) => {
    fleet.drawFate = (_, message) => message.type === 'run' ? { delayMs: 700 } : undefined
    const pending = fleet.run(entry, 'w', { isWrite: true })
    await fleet.time.advance(400)
    expect(await pending).to.equal('row of w signed')
    await fleet.time.advance(2_000)
    expect(fleet.countRuns('w')).to.equal(1)
    expect(fleet.vms.get(entry)!.decisions).to.deep.equal(['forwarded first', 'forwarded notRun'])
    expect(fleet.vms.get(first)!.served).to.deep.equal([])
  }))

  it('runs a repeated message once, and takes repeated and late answers once', async () => await runFleet(async (fleet, entry) => {
    fleet.drawFate = () => 'repeat'
    const pending = [fleet.run(entry, 'w', { isWrite: true }), fleet.run(entry, 'r')]
    await fleet.time.advance(500)
    expect(await Promise.all(pending)).to.deep.equal(['row of w signed', 'row of r signed'])
    expect(fleet.countRuns('w')).to.equal(1)
  }))

  it('sends large answers in parts, takes each once, and does not take a part of an answer for the whole', async () => await runFleet(async (fleet, entry, first) => {
    Object.assign(fleet.endpoint, { rowCount: 10, rowBytes: 100_000 })
    fleet.drawFate = (_, message) => message.type === 'part' ? 'repeat' : undefined
    const read = fleet.run(entry, 'r')
    await fleet.time.advance(100)
    expect((await read).split(',').map(r => r.length)).to.deep.equal([...Array(9).fill(100_008), 100_008 + ' signed'.length])
    expect(fleet.sent.filter(m => m.type === 'part')).to.have.length(4)
    fleet.drawFate = (_, message) => message.type === 'part' && message.part === 1 ? 'drop' : undefined
    const write = fleet.run(entry, 'w', { isWrite: true })
    await fleet.time.advance(100)
    expect(await write).to.equal('inDoubt')
    fleet.endpoint.rowCount = 30
    const large = fleet.run(entry, 'l')
    await fleet.time.advance(100)
    expect((await large).split(',')).to.have.length(30)
    expect(fleet.vms.get(first)!.served.at(-1)).to.equal('answerTooLarge')
  }))

  it('answers a write whose answer is lost as in doubt before its timeout', async () => await runFleet(async (fleet, entry) => {
    fleet.drawFate = (_, message) => message.type === 'outcome' ? 'drop' : undefined
    const pending = fleet.run(entry, 'w', { isWrite: true })
    await fleet.time.advance(300)
    expect(await pending).to.equal('inDoubt')
    expect(fleet.countRuns('w')).to.equal(1)
  }))

  it('serves reads within their objective while the serving VM stands still, skips it at once, and uses it again afterwards', async () => await runFleet(async (fleet, entry, first) => {
    fleet.vms.get(first)!.process.frozenUntilMs = 3_000
    const write = fleet.run(entry, 'w', { isWrite: true })
    const read = fleet.run(entry, 'r0')
    await fleet.time.advance(410)
    expect(await read).to.equal('row of r0 signed')
    await fleet.time.advance(390)
    const next = [fleet.run(entry, 'r1'), fleet.run(entry, 'w1', { isWrite: true })]
    await fleet.time.advance(20)
    expect(await Promise.all(next)).to.deep.equal(['row of r1 signed', 'row of w1 signed'])
    await fleet.time.advance(1_300)
    expect(await write).to.equal('inDoubt')
    await fleet.time.advance(3_000)
    expect(fleet.countRuns('w')).to.be.at.most(1)
    const { decisions } = fleet.vms.get(entry)!
    decisions.length = 0
    for (const id of ['r2', 'r3']) {
      const pending = fleet.run(entry, id)
      await fleet.time.advance(20)
      expect(await pending).to.equal(`row of ${id} signed`)
    }
    expect(decisions).to.deep.equal(['forwarded first', 'forwarded first'])
  }))

  // Review case 3, on another path: the serving VM ran the read with the session's values of the time when it was sent.
  it('runs no read that arrives at its serving VM after it was answered here', async () => await runFleet(async (fleet, entry) => {
    fleet.drawFate = (_, message) => message.type === 'run' ? { delayMs: 900 } : message.type === 'inquiry' ? 'drop' : undefined
    const pending = fleet.run(entry, 'r')
    await fleet.time.advance(450)
    expect(await pending).to.equal('row of r signed')
    await fleet.time.advance(2_000)
    expect(fleet.countRuns('r')).to.equal(1)
  }))

  for (const { name, endsAtMs, disturb } of [
    { name: 'has answered', endsAtMs: 1_000, disturb: (fleet: ForwardingFleet, _: string, first: string) => { fleet.vms.get(first)!.process.frozenUntilMs = 1_000 } },
    { name: 'must have ended it, as its link is lost', endsAtMs: 2_000, disturb: (fleet: ForwardingFleet, entry: string, first: string) => fleet.cutLink(entry, first, 'closed') }
  ]) {
    it(`counts a read as an attempt of its session until its serving VM ${name}, although it was answered here`, async () => await runFleet(async (fleet, entry, first) => {
      const attempts = new SessionAttempts()
      fleet.endpoint.workMs = 20
      const pending = fleet.run(entry, 'r', { attempts })
      await fleet.time.advance(1)
      disturb(fleet, entry, first)
      await fleet.time.advance(500)
      expect(await pending).to.equal('row of r signed')
      await fleet.time.advance(endsAtMs - 550)
      expect(attempts.count).to.equal(1)
      await fleet.time.advance(100)
      expect(attempts.count).to.equal(0)
    }))
  }

  it('probes a VM that has failed by one read, and by no write', async () => await runFleet(async (fleet, entry, first) => {
    fleet.drawFate = to => to === first ? 'drop' : undefined
    const write = fleet.run(entry, 'w', { isWrite: true })
    await fleet.time.advance(2_600)
    expect(await write).to.equal('inDoubt')
    const { decisions } = fleet.vms.get(entry)!
    decisions.length = 0
    const pending = [fleet.run(entry, 'w1', { isWrite: true }), fleet.run(entry, 'r1'), fleet.run(entry, 'r2')]
    await fleet.time.advance(500)
    expect(await Promise.all(pending)).to.deep.equal(['row of w1 signed', 'row of r1 signed', 'row of r2 signed'])
    expect(decisions).to.deep.equal(['forwarded next', 'forwarded first', 'forwarded next'])
  }))

  // Guards against refusals that last as long as a serving VM is cut off from the endpoints, which the client's VM reaches.
  it('serves statements although their first serving VM reaches no endpoint', async () => await runFleet(async (fleet, entry, first) => {
    const pool = fleet.vms.get(first)!.groups.find('s')!.pools.get('e')!
    pool.acquire = async () => { throw new PoolError('cut off', { props: { refusal: 'unreachable', retryAfterMs: 100 } }) }
    const outcomes: string[] = []
    for (let i = 0; i < 20; i++) {
      const pending = [fleet.run(entry, `r${i}`), fleet.run(entry, `w${i}`, { isWrite: true })]
      await fleet.time.advance(500)
      outcomes.push(...await Promise.all(pending))
    }
    expect(outcomes.filter(o => o === 'busy').length).to.be.at.most(5)
  }))

  // Guards against reads that each wait for half of their objective, as long as the link of a serving VM is slow.
  it('skips a VM whose answers are late again and again for some time, although late answers of it arrive meanwhile', async () => await runFleet(async (fleet, entry) => {
    fleet.drawFate = to => to === entry ? { delayMs: 600 } : undefined
    const { decisions } = fleet.vms.get(entry)!
    const pending: Array<Promise<string>> = []
    for (let i = 0; i < 40 && !decisions.includes('forwarded next'); i++) {
      pending.push(fleet.run(entry, `r${i}`))
      await fleet.time.advance(50)
    }
    decisions.length = 0
    for (let i = 0; i < 8; i++) {
      pending.push(fleet.run(entry, `s${i}`))
      await fleet.time.advance(50)
    }
    await fleet.time.advance(3_000)
    await Promise.all(pending)
    expect(decisions.filter(d => d === 'forwarded first')).to.deep.equal([])
  }))

  it('goes on with a VM whose answers are late because the endpoint is slow, as other VMs would open connections to wait for the same endpoint', async () => await runFleet(async (fleet, entry) => {
    fleet.endpoint.workMs = 600
    const pending: Array<Promise<string>> = []
    for (let i = 0; i < 40; i++) {
      pending.push(fleet.run(entry, `r${i}`))
      await fleet.time.advance(50)
    }
    await fleet.time.advance(5_000)
    await Promise.all(pending)
    expect(fleet.vms.get(entry)!.decisions.filter(d => d === 'forwarded next')).to.deep.equal([])
  }))

  it('takes no answer that belongs to an earlier start of the client\'s VM, and sends none to a later start of the serving VM', async () => await runFleet(async (fleet, entry, first) => {
    fleet.drawFate = (to, message) => to === entry && message.type === 'outcome' ? { delayMs: 100 } : undefined
    fleet.run(entry, 'old').catch(() => {}) // Its VM ends.
    await fleet.time.advance(3)
    fleet.startVm(Number(entry.slice(2)), 2)
    const read = fleet.run(entry, 'new')
    await fleet.time.advance(300)
    expect(await read).to.equal('row of new signed')
    fleet.startVm(Number(first.slice(2)), 2)
    const write = fleet.run(entry, 'w', { isWrite: true })
    await fleet.time.advance(300)
    expect(await write).to.equal('row of w signed')
    expect(fleet.countRuns('w')).to.equal(1)
    expect(fleet.vms.get(first)!.served).to.deep.equal(['restarted'])
  }))

  it('does not rely on a later start of the serving VM for what an earlier one ran, before the lost link is noticed', async () => await runFleet(async (fleet, entry, first) => {
    fleet.endpoint.workMs = 600
    fleet.cutLink = () => {}
    const write = fleet.run(entry, 'w', { isWrite: true })
    await fleet.time.advance(50)
    fleet.startVm(Number(first.slice(2)), 2)
    await fleet.time.advance(2_500)
    expect(await write).to.equal('inDoubt')
    expect(fleet.countRuns('w')).to.equal(1)
  }))

  it('finishes what a VM has accepted before it stops, and refuses new ones as not run', async () => await runFleet(async (fleet, entry, first) => {
    fleet.endpoint.workMs = 200
    const accepted = fleet.run(entry, 'w0', { isWrite: true })
    await fleet.time.advance(10)
    let isStopped = false
    fleet.vms.get(first)!.forwarder.stop().then(() => { isStopped = true }, () => {})
    const refused = fleet.run(entry, 'w1', { isWrite: true })
    await fleet.time.advance(100)
    expect(isStopped).to.equal(false)
    await fleet.time.advance(400)
    expect(await Promise.all([accepted, refused])).to.deep.equal(['row of w0 signed', 'row of w1 signed'])
    expect(isStopped).to.equal(true)
    expect(fleet.vms.get(first)!.served).to.deep.equal(['draining', 'answered'])
  }))

  // Guards against a stop after which every VM opens connections of its own to the primary, which has fewer than the fleet has VMs.
  it('runs what a stopping VM refuses on the next one, and here if that stops too', async () => await runFleet(async (fleet, entry, first) => {
    const next = [...fleet.vms.keys()].find(vm => vm !== entry && vm !== first)!
    fleet.vms.get(first)!.forwarder.stop().catch(() => {})
    const pending = fleet.run(entry, 'w1', { isWrite: true })
    await fleet.time.advance(100)
    expect(await pending).to.equal('row of w1 signed')
    expect(fleet.vms.get(next)!.served).to.deep.equal(['answered'])
    await fleet.time.advance(10_000)
    for (const vm of [first, next]) fleet.vms.get(vm)!.forwarder.stop().catch(() => {})
    const here = [fleet.run(entry, 'w2', { isWrite: true }), fleet.run(entry, 'r2')]
    await fleet.time.advance(500)
    expect(await Promise.all(here)).to.deep.equal(['row of w2 signed', 'row of r2 signed'])
    expect(fleet.countRuns('w2')).to.equal(1)
  }))

  it('counts the time on the way, and does not run a statement whose time is over', async () => await runFleet(async (fleet, entry, first) => {
    const warmUp = fleet.run(entry, 'r')
    await fleet.time.advance(50)
    await warmUp
    fleet.vms.get(first)!.process.frozenUntilMs = fleet.time.readNow() + 2_500
    const pending = fleet.run(entry, 'w', { isWrite: true })
    await fleet.time.advance(4_000)
    expect(await pending).to.equal('inDoubt')
    expect(fleet.countRuns('w')).to.equal(0)
    expect(fleet.vms.get(first)!.served).to.deep.equal(['answered', 'expired'])
  }))

  it('sends no more than 256 statements to one VM, and runs the others here', async () => await runFleet(async (fleet, entry) => {
    fleet.endpoint.workMs = 100
    const pending = Array.from({ length: 600 }, async (_, i) => await fleet.run(entry, `r${i}`))
    await fleet.time.advance(1)
    const { decisions } = fleet.vms.get(entry)!
    expect(decisions.filter(d => d === 'forwarded first')).to.have.length(256)
    expect(decisions.filter(d => d === 'forwarded next')).to.have.length(256)
    expect(decisions.filter(d => d === 'local linksFull')).to.have.length(88)
    await fleet.time.advance(5_000)
    await Promise.all(pending)
  }))

  it('responds to no client that has disconnected while its statement is forwarded, and holds nothing for it afterwards', async () => await runFleet(async (fleet, entry, first) => {
    const { host, process } = fleet.vms.get(entry)!
    const sent: string[] = []
    const names = ['sendWelcome', 'sendRefusal', 'sendResponse', 'sendEndNotice', 'sendNoticeCompletion', 'pauseInput', 'resumeInput', 'close', 'destroy']
    const transport = {
      ...Object.fromEntries(names.map(name => [name, () => { sent.push(name) }])),
      readInputState: () => ({ incompleteBytes: 0, sinceLastByteMs: null }),
      readOutputState: () => ({ waitingBytes: 0, isFull: false })
    }
    Object.assign(host, { admitOperation: async () => null, readConfiguration: () => configuration, waitForConfiguration: async () => configuration, removeSession: () => {} })
    const session = new ClientSession('session-1', host, transport as unknown as ClientTransport)
    fleet.time.runAs(process, () => session.handleStartup('d', 'k'))
    await fleet.time.advance(10)
    fleet.time.runAs(process, () => session.handleStatement({ id: 'w', text: 'w', type: 'write' }))
    await fleet.time.advance(3)
    fleet.time.runAs(process, () => session.handleClose())
    await fleet.time.advance(2_500)
    expect(sent).not.to.include('sendResponse')
    expect(fleet.countRuns('w')).to.equal(1)
    expect(fleet.vms.get(first)!.served).to.deep.equal(['answered'])
    expect(fleet.vms.get(entry)!.forwarder.inFlight).to.equal(0)
  }))

  it('runs each write at most once, with its session\'s values, and tells the truth about it, in random histories of lost, late and repeated messages, links that are lost, VMs that stand still and restart', async () => {
    const counts = new Map<string, number>()
    for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
      await runFleet(async fleet => {
        const random = createSeededRandom(seed)
        const pickName = (): string => `vm${Math.floor(random() * 3)}`
        fleet.drawFate = () => [undefined, 'drop' as const, 'repeat' as const, { delayMs: random() * 800 }][Math.max(0, Math.floor(random() * 20) - 16)]
        const outcomes: Array<Promise<void>> = []
        const writes: string[] = []
        for (let i = 0; i < 150; i++) {
          const [id, vm, values, isWrite] = [`${seed}-${i}`, pickName(), { tag: `${i}` }, random() < 0.7] as const
          if (isWrite) writes.push(id)
          outcomes.push(fleet.run(vm, id, { isWrite, values }).then(outcome => {
            const runs = fleet.endpoint.runs.filter(r => r.id === id)
            const kind = outcome.startsWith('row') ? 'answered' : outcome
            counts.set(kind, (counts.get(kind) ?? 0) + 1)
            for (const run of runs) expect(run.values, id).to.deep.equal(values)
            if (kind === 'answered') expect(outcome).to.equal(`row of ${id} signed`)
            else expect(kind, id).to.be.oneOf(isWrite ? ['inDoubt', 'busy'] : ['timeout', 'busy'])
            if (isWrite && kind !== 'inDoubt') expect(runs.length, `${id} ${kind}`).to.equal(kind === 'answered' ? 1 : 0)
          }))
          await fleet.time.advance(random() * 60)
          if (i % 10 !== 9) continue
          const event = Math.floor(random() * 3)
          if (event === 0) fleet.vms.get(pickName())!.process.frozenUntilMs = fleet.time.readNow() + random() * 2_500
          else if (event === 1) fleet.startVm(Math.floor(random() * 3), i + 2)
          else fleet.cutLink(pickName(), pickName(), 'closed')
        }
        await fleet.time.advance(6_000)
        await Promise.all(outcomes)
        for (const id of writes) expect(fleet.countRuns(id), id).to.be.at.most(1)
      })
    }
    expect([...counts.keys()]).to.include.members(['answered', 'inDoubt', 'timeout'])
  })

  it('hands the text of a statement to no VM of a region that is neither allowed nor its client\'s, and uses the route as sent', async () => await runFleet(async (fleet, entry, first) => {
    const { configuration, decisions } = fleet.vms.get(entry)!
    configuration.apply({ ...configuration.current!, version: 2 }, 'test')
    const pending = [fleet.run(entry, 'a', { allowedRegions: ['r'] }), fleet.run(entry, 'b', { allowedRegions: [] })]
    await fleet.time.advance(100)
    await Promise.all(pending)
    expect(decisions).to.deep.equal(['forwarded first', 'local regionNotAllowed'])
    const sent = fleet.sent.find(m => m.type === 'run')
    expect(sent).to.deep.include({ route, allowedRegions: ['r'] })
    expect(fleet.vms.get(first)!.configuration.version).to.equal(1)
  }))
})
