export type Release = () => void

/** Admits a number of holders at once; the others queue in order, up to a bound. */
export interface Semaphore {
  /** Resolves with a function that ends the hold, or with `null` when the queue is full or the time is up. */
  acquire: (timeoutMs: number) => Promise<Release | null>
  /** The most holders there have been at once. */
  countPeakHolders: () => number
}

/** @example const release = await createSemaphore(3, 200).acquire(1_000) */
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
