import { expect } from 'chai'
import { SimulatedFleet, type SimulatedVm } from '../testing/simulated-vm.ts'

describe('departure of a replica while nothing is sent to the primary', () => {
  let fleet: SimulatedFleet

  beforeEach(() => { fleet = new SimulatedFleet(['p', 'a', 'b']) })
  afterEach(() => fleet.time.stop())

  function startVms (count: number): SimulatedVm[] {
    const vms = Array.from({ length: count }, (_, i) => fleet.startVm(`vm${i + 1}`))
    for (const vm of vms) vm.addEndpoints()
    vms[0]!.commit()
    return vms
  }

  async function leave (vms: readonly SimulatedVm[], endpoint: string): Promise<void> {
    await fleet.advance(500)
    fleet.group.endpoints.delete(endpoint)
    for (const vm of vms) vm.group.removeEntry(endpoint)
  }

  it('is covered by the log end that the primary tells, and the replica is known to be gone', async () => {
    const [vm] = startVms(1)
    await leave([vm!], 'a')
    await fleet.advance(1_500)
    expect(vm!.group.departures.map(({ endpoint, logEnd, isGone }) => ({ endpoint, logEnd, isGone }))).to.deep.equal([{ endpoint: 'a', logEnd: { term: 1, index: 1 }, isGone: true }])
  })

  it('is inquired about by a few VMs, not by all', async () => {
    const vms = startVms(9)
    fleet.exchangeReports()
    await leave(vms, 'a')
    await fleet.advance(1_500)
    expect(vms.filter(vm => vm.group.departures[0]?.logEnd !== null)).to.have.length(3)
  })

  it('is inquired about again if the primary does not respond, and after it was replaced', async () => {
    const [vm] = startVms(1)
    await fleet.advance(200)
    vm!.connector.unreachable.add('p')
    await leave([vm!], 'a')
    await fleet.advance(1_500)
    expect(vm!.group.departures[0]?.logEnd).to.equal(null)
    vm!.connector.unreachable.clear()
    await fleet.advance(2_000)
    expect(vm!.group.departures[0]?.logEnd).to.deep.equal({ term: 1, index: 1 })
    fleet.group.promote('b')
    vm!.group.adoptPrimary('b', 2, 'test')
    expect(vm!.group.departures[0]?.logEnd).to.equal(null)
    await fleet.advance(2_000)
    expect(vm!.group.departures[0]?.logEnd).to.deep.equal({ term: 1, index: 1 })
  })

  it('of an endpoint that still runs is not taken for its end', async () => {
    const [vm] = startVms(1)
    vm!.group.removeEntry('a')
    await fleet.advance(1_500)
    expect(vm!.group.departures[0]?.isGone).not.to.equal(true)
  })
})
