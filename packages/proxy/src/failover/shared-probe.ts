/**
 * Returns a function that shares one probe among concurrent calls: each call gets the result of a
 * probe that began after the call. A call during a running probe waits for the next one.
 *
 * @example const probe = createSharedProbe(() => connection.query('SHOW GROUP STATUS', 500))
 */
export function createSharedProbe<T> (runProbe: () => Promise<T>): () => Promise<T> {
  let runningProbe: Promise<T> | null = null
  let queuedProbe: Promise<T> | null = null
  const startProbe = (): Promise<T> => {
    const probe = runProbe().finally(() => {
      if (runningProbe === probe) runningProbe = null
    })
    runningProbe = probe
    return probe
  }
  return () => {
    if (queuedProbe !== null) return queuedProbe
    if (runningProbe === null) return startProbe()
    const nextProbe = runningProbe.catch(() => {}).then(() => {
      queuedProbe = null
      return startProbe()
    })
    queuedProbe = nextProbe
    return nextProbe
  }
}
