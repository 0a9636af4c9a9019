import { expect } from 'chai'
import { applyReportedVersion, createConfigurationFetch, resetConfigurationFetch } from './configuration-fetch.ts'

describe('fetching the configuration from another vm', () => {
  it('leaves the store time to deliver it first', () => {
    const state = createConfigurationFetch()
    expect(applyReportedVersion(state, 8, 7, 1_000)).to.equal(false)
    expect(applyReportedVersion(state, 8, 7, 1_299)).to.equal(false)
    expect(applyReportedVersion(state, 8, 7, 1_300)).to.equal(true)
  })

  it('asks one vm at a time, and the next when that one does not answer', () => {
    const state = createConfigurationFetch()
    let requestCount = 0
    for (let nowMs = 0; nowMs < 4_000; nowMs += 10) if (applyReportedVersion(state, 8, 7, nowMs)) requestCount++
    expect(requestCount).to.equal(2)
  })

  it('asks at once for the first version', () => {
    expect(applyReportedVersion(createConfigurationFetch(), 8, 0, 0)).to.equal(true)
  })

  it('waits again for the store with each version that has come', () => {
    const state = createConfigurationFetch()
    applyReportedVersion(state, 8, 7, 0)
    resetConfigurationFetch(state)
    expect(applyReportedVersion(state, 9, 8, 400)).to.equal(false)
    expect(applyReportedVersion(state, 8, 8, 900)).to.equal(false)
    expect(applyReportedVersion(state, 9, 8, 900)).to.equal(true)
  })
})
