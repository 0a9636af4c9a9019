import type { ResponseError } from '../backend/statement.ts'

/** Time for a client to send its startup: one round trip after its connection is open, with retries of lost packets. */
export const STARTUP_TIMEOUT_MS = 10_000

/** Refuses a connection that has sent no startup within `STARTUP_TIMEOUT_MS`. */
export const STARTUP_TIMED_OUT: ResponseError = { code: 'timeout', text: `no STARTUP within ${STARTUP_TIMEOUT_MS} ms` }

/** Refuses a connection whose first message is another one. */
export const STARTUP_EXPECTED: ResponseError = { code: 'malformed', text: 'the first message must be STARTUP' }
