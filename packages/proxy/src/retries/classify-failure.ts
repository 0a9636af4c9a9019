import { NOT_PRIMARY_ERRNO, SLOTS_BUSY_ERRNO, STALE_TERM_ERRNO, TOO_MANY_CONNECTIONS_ERRNO } from '@camphorpitch/wire'

const notRunErrnos: ReadonlySet<number> = new Set([NOT_PRIMARY_ERRNO, STALE_TERM_ERRNO, SLOTS_BUSY_ERRNO, TOO_MANY_CONNECTIONS_ERRNO])

/** Whether the endpoint's error means that it did not begin the statement, so that the statement may be sent again. */
export function isNotRunError (errno: number): boolean {
  return notRunErrnos.has(errno)
}
