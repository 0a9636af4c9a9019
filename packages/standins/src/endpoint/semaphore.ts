export type Release = () => void

/** Limits the number of concurrent holders; further ones wait in a FIFO queue of bounded length. */
export interface Semaphore {
  /** Resolves with a function that releases the semaphore, or with `null` when the queue is full or after `timeoutMs`. */
  acquire: (timeoutMs: number) => Promise<Release | null>
  /** Returns the highest number of concurrent holders so far. */
  countPeakHolders: () => number
}

/** Creates a semaphore for `limit` holders and `maxQueued` waiters. @example const release = await createSemaphore(3, 200).acquire(1_000) */
export function createSemaphore (limit: number, maxQueued: number): Semaphore {
  const queue: Array<(release: Release) => void> = []
  let holders = 0
  let peakHolders = 0
  const createRelease = (): Release => {
    let isReleased = false
    return () => {
      if (isReleased) return
      isReleased = true
      const next = queue.shift()
      if (next === undefined) holders--
      else next(createRelease())
    }
  }
  return {
    countPeakHolders: () => peakHolders,
    acquire: async timeoutMs => {
      if (holders < limit) {
        holders++
        peakHolders = Math.max(peakHolders, holders)
        return createRelease()
      }
      if (queue.length >= maxQueued) return null
      return await new Promise(resolve => {
        const timer = setTimeout(() => {
          queue.splice(queue.indexOf(grant), 1)
          resolve(null)
        }, timeoutMs)
        const grant = (release: Release): void => {
          clearTimeout(timer)
          resolve(release)
        }
        queue.push(grant)
      })
    }
  }
}
