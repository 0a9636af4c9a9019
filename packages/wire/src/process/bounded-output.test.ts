import { expect } from 'chai'
import { BoundedOutput, type WriteChunk } from './bounded-output.ts'
import { createLineLimiterState, limitLines } from './line-limiter.ts'

const LINE = `${'x'.repeat(1_023)}\n`

describe('bounded output', () => {
  it('does not block when the reader of the output stops, and reports the dropped lines when it reads again', () => {
    const writtenChunks: Buffer[] = []
    const pendingWrites: Array<() => void> = []
    const writeChunk: WriteChunk = (chunk, done) => {
      pendingWrites.push(() => {
        writtenChunks.push(chunk)
        done(null, chunk.length)
      })
    }
    const output = new BoundedOutput(writeChunk)
    for (let i = 0; i < 5_000; i++) output.write(LINE)
    expect(output.writableLength).to.equal(0)
    expect(output.droppedLineCount).to.be.greaterThan(3_000)
    for (let i = 0; i < 3; i++) {
      pendingWrites.shift()?.()
      output.write('next\n')
    }
    for (let completeWrite = pendingWrites.shift(); completeWrite !== undefined; completeWrite = pendingWrites.shift()) completeWrite()
    const text = Buffer.concat(writtenChunks).toString()
    expect(text).to.match(/"log lines dropped","count":\d+/)
    expect(text.length).to.be.lessThan(2 * 1024 * 1024)
  }).timeout(10_000)

  it('waits until lines that are being written are out, but not for a reader that has stopped', async () => {
    const completeWrites: Array<() => void> = []
    const writtenChunks: string[] = []
    const output = new BoundedOutput((chunk, done) => completeWrites.push(() => {
      writtenChunks.push(chunk.toString())
      done(null, chunk.length)
    }))
    output.write('first\n')
    output.write('last\n')
    await output.flush(20)
    expect(writtenChunks).to.deep.equal([])
    const flushed = output.flush(1_000)
    completeWrites.shift()!()
    completeWrites.shift()!()
    await flushed
    expect(writtenChunks).to.deep.equal(['first\n', 'last\n'])
  })

  it('writes the rest of a chunk after a partial write', () => {
    let text = ''
    const output = new BoundedOutput((chunk, done) => {
      const writtenChunk = chunk.subarray(0, 3)
      text += writtenChunk.toString()
      done(null, writtenChunk.length)
    })
    output.write('hello world\n')
    expect(text).to.equal('hello world\n')
  })
})

describe('line limiter', () => {
  it('limits the lines per second of one message, and reports the number of lines that it left out', () => {
    let nowMs = 0
    const format = limitLines(createLineLimiterState(() => nowMs))
    const countWrittenLines = (level: string): number => Array.from({ length: 300 }, () => format.transform({ level, message: 'placed' }, format.options)).filter(Boolean).length
    expect(countWrittenLines('info')).to.equal(200)
    nowMs = 1_000
    expect(format.transform({ level: 'info', message: 'placed' }, format.options)).to.have.property('leftOut', 100)
    expect(countWrittenLines('warn')).to.equal(300)
  })
})
