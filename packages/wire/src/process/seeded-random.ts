/**
 * Creates a generator of pseudo-random numbers in [0, 1) (mulberry32). The same seed gives the same sequence.
 *
 * @example
 * const random = createSeededRandom(7)
 * random() // the same number in every run
 */
export function createSeededRandom (seed: number): () => number {
  let state = seed | 0
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let t = Math.imul(state ^ (state >>> 15), 1 | state)
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t
    return ((t ^ (t >>> 14)) >>> 0) / 4_294_967_296
  }
}
