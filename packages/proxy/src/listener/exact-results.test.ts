import { expect } from 'chai'
import type { Connection } from 'mysql2/promise'
import { startTestFleet, type TestFleet } from '../testing/test-fleet.ts'

const LARGE_CELL_BYTES = 16 * 1024 * 1024

interface RawResult {
  names: string[]
  types: unknown[]
  rows: unknown[]
}

/** Reads cells as bytes and keeps the column definitions, so that two results can be compared exactly. */
async function readRawResult (connection: Connection, sql: string): Promise<RawResult> {
  const [rows, fields] = await connection.query({ sql, rowsAsArray: true, typeCast: field => field.buffer() })
  const types = fields.map(f => {
    const { columnType, flags, decimals, columnLength, characterSet } = f as unknown as Record<string, unknown>
    return { columnType, flags, decimals, columnLength, characterSet }
  })
  return { names: fields.map(f => f.name), types, rows: rows as unknown[] }
}

const statements = [
  'SELECT id, big, amount, born, seen, name, data, ratio, missing FROM samples ORDER BY id',
  'SELECT * FROM samples WHERE id = 999',
  'SELECT a.id, b.id FROM samples a JOIN samples b ON a.id = b.id ORDER BY 1',
  'SELECT name AS "nøkkel", data AS "bytes é" FROM samples ORDER BY id',
  'SELECT NULL, 1, 1.5, \'\', x\'\'',
  'SELECT count(*), sum(big), min(amount) FROM samples'
]

describe('results of a client of the proxy', () => {
  let fleet: TestFleet
  let endpointConnection: Connection
  let client: Connection

  before(async () => {
    fleet = await startTestFleet({ vms: 2 })
    client = await fleet.openClientConnection(1)
    await client.query('CREATE TABLE samples (id INTEGER PRIMARY KEY, big BIGINT, amount DECIMAL(20,4), born DATE, seen DATETIME, name VARCHAR(200), data BLOB, ratio DOUBLE, missing TEXT)')
    await client.query("INSERT INTO samples VALUES (1, 9223372036854775807, '12345678901234.5678', '2026-02-28', '2026-02-28 23:59:59', 'blåbær 💅', x'00ff0a0d27225c80', 0.1, NULL)")
    await client.query("INSERT INTO samples VALUES (2, -9223372036854775808, '-0.0001', '1970-01-01', '0000-01-01 00:00:00', '', x'', -1.7976931348623157e308, NULL)")
    await client.query(`INSERT INTO samples (id, data) VALUES (3, x'${'00ff7f80fb01fc'.repeat(100)}')`)
    endpointConnection = await fleet.openEndpointConnection(0)
  })

  after(async () => {
    await Promise.all([endpointConnection.end(), client.end()])
    await fleet.stop()
  })

  for (const sql of statements) {
    it(`equal those of a direct connection to the endpoint: ${sql}`, async () => {
      expect(await readRawResult(client, sql)).to.deep.equal(await readRawResult(endpointConnection, sql))
    })
  }

  it('equal those of a direct connection to the endpoint for a 16 MB cell', async () => {
    const sql = `SELECT zeroblob(${LARGE_CELL_BYTES}) AS large, 'after' AS tail`
    const [actual, expected] = [await readRawResult(client, sql), await readRawResult(endpointConnection, sql)]
    const cells = actual.rows[0] as Buffer[]
    expect(cells[0]?.length).to.equal(LARGE_CELL_BYTES)
    expect(Buffer.compare(cells[0] as Buffer, (expected.rows[0] as Buffer[])[0] as Buffer)).to.equal(0)
    expect(cells[1]?.toString()).to.equal('after')
  })

  it('contain the affected rows and the insert id', async () => {
    await client.query('CREATE TABLE counted (id INTEGER PRIMARY KEY AUTOINCREMENT, n INTEGER)')
    const [inserted] = await client.query('INSERT INTO counted (n) VALUES (1), (2), (3)')
    expect(inserted).to.include({ affectedRows: 3, insertId: 3 })
    const [updated] = await client.query('UPDATE counted SET n = 0 WHERE n > 1')
    expect(updated).to.include({ affectedRows: 2 })
  })
})
