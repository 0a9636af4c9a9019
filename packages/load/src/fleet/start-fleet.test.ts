import { expect } from 'chai'
import { startFleet } from './start-fleet.ts'

function isRunning (pid: number): boolean {
  try {
    process.kill(pid, 0)
    return true
  } catch {
    return false
  }
}

describe('startFleet', () => {
  it('writes the groups\' links and limits to the object service, and leaves no process running after a stop', async () => {
    const fleet = await startFleet({ vms: 1, databases: ['orders', 'repairs'], endpoint: { maxConnections: 45 } })
    const pids = [fleet.platform, ...fleet.vms.map(v => v.process), ...fleet.endpoints.map(e => e.process)].map(p => p.pid)
    try {
      const { value } = await fleet.objectClient.readObject('database', 'repairs')
      const { endpoints } = value as { endpoints: Array<{ port: number, maxConnections: number }> }
      const repairs = fleet.endpoints.filter(e => e.database === 'repairs')
      expect(endpoints.map(e => e.port)).to.deep.equal(repairs.map(e => e.link.port))
      expect(repairs.map(e => e.link.targetPort)).to.deep.equal(repairs.map(e => e.port))
      expect(endpoints.map(e => e.maxConnections)).to.deep.equal([45, 45, 45])
      expect(pids.filter(isRunning)).to.deep.equal(pids)
    } finally {
      await fleet.stop()
    }
    expect(pids.filter(isRunning)).to.deep.equal([])
  })
})
