import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { expect } from 'chai'
import { startTestFleet, type TestFleet } from '../testing/test-fleet.ts'

const HEADER_BYTES = 4

/** Opens a connection and waits for the greeting of the server. */
async function openGreetedSocket (port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1')
  socket.on('error', () => {})
  await once(socket, 'data')
  return socket
}

/** Adds a protocol header to a payload. */
function framePacket (sequence: number, payload: Buffer, length = payload.length): Buffer {
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUIntLE(length, 0, 3)
  header[3] = sequence
  return Buffer.concat([header, payload])
}

describe('listener with invalid input', () => {
  let fleet: TestFleet

  before(async () => { fleet = await startTestFleet({ vms: 1 }) })
  after(async () => { await fleet.stop() })

  async function checkServing (): Promise<void> {
    const client = await fleet.openClientConnection(0)
    const [rows] = await client.query('SELECT 7 AS n')
    expect(rows).to.deep.equal([{ n: 7 }])
    await client.end()
  }

  async function readErrno (action: Promise<unknown>): Promise<number> {
    return await action.then(() => 0, (error: { errno: number }) => error.errno)
  }

  it('closes a connection whose client responds to the greeting with random bytes, framed as a packet or not', async () => {
    let seed = 7
    for (let i = 0; i < 60; i++) {
      const socket = await openGreetedSocket(fleet.apps[0]?.callersPort as number)
      const payload = Buffer.alloc(1 + i * 3)
      for (let j = 0; j < payload.length; j++) {
        seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648
        payload[j] = seed >> 16
      }
      const closed = once(socket, 'close')
      socket.on('data', () => {})
      socket.end(i % 2 === 0 ? framePacket(1, payload) : payload)
      await closed
    }
    await checkServing()
  })

  it('closes a connection that sends a statement above the maximum size, and keeps serving', async () => {
    const client = await fleet.openClientConnection(0, { maxPacketSize: 64 * 1024 * 1024 })
    const pendingErrno = readErrno(client.query(`SELECT '${'x'.repeat(17 * 1024 * 1024)}'`))
    expect(await pendingErrno).to.not.equal(0)
    await checkServing()
  })

  it('refuses unknown workspaces, unknown databases, unsupported character sets and wrong keys with MySQL error numbers', async () => {
    expect(await readErrno(fleet.openClientConnection(0, { user: 'nobody' }))).to.equal(1045)
    expect(await readErrno(fleet.openClientConnection(0, { password: 'wrong' }))).to.equal(1045)
    expect(await readErrno(fleet.openClientConnection(0, { password: '' }))).to.equal(1045)
    expect(await readErrno(fleet.openClientConnection(0, { database: 'stranger' }))).to.equal(1049)
    expect(await readErrno(fleet.openClientConnection(0, { charset: 'LATIN1_SWEDISH_CI' }))).to.equal(1115)
  })

  it('responds to unsupported commands with an error and keeps the connection usable', async () => {
    const client = await fleet.openClientConnection(0)
    expect(await readErrno(client.execute('SELECT ?', [1]))).to.equal(1047)
    expect(await readErrno(client.query('SELECT 1; SELECT 2'))).to.not.equal(0)
    expect(await readErrno(client.query("SET @other = '1'"))).to.equal(5102)
    expect(await readErrno(client.query('LOCK TABLES t READ'))).to.equal(5102)
    expect(await readErrno(client.query('SELECT FROM'))).to.equal(1064)
    const [rows] = await client.query('SELECT 2 AS n')
    expect(rows).to.deep.equal([{ n: 2 }])
    await client.end()
  })

  it('rolls back the open transaction of a client that disconnects', async () => {
    const client = await fleet.openClientConnection(0)
    await client.query('CREATE TABLE IF NOT EXISTS vanished (id INTEGER)')
    await client.query('BEGIN')
    await client.query('INSERT INTO vanished VALUES (1)')
    client.destroy()
    const other = await fleet.openClientConnection(0)
    await other.query('INSERT INTO vanished VALUES (2)')
    const [rows] = await other.query('SELECT id FROM vanished')
    expect(rows).to.deep.equal([{ id: 2 }])
    await other.end()
  })
})
