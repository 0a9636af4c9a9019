/**
 * Shares a probe among concurrent callers: each gets the result of one that began after its call.
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
