/** Number of parts into which a window is divided; it slides by one part at a time. */
const PARTS_PER_WINDOW = 10

/** Counts events by name over a sliding window. */
export interface DemandWindow {
  /** Length of a part of the window, in milliseconds. */
  partMs: number
  /** Counts by name for each part in which events occurred, the oldest first. */
  parts: Array<{ index: number, counts: Map<string, number> }>
}

/**
 * @param windowMs length of the window, in milliseconds
 * @example createDemandWindow(5_000)
 */
export function createDemandWindow (windowMs: number): DemandWindow {
  return { partMs: windowMs / PARTS_PER_WINDOW, parts: [] }
}

/** Counts one event. */
export function recordDemand (window: DemandWindow, name: string, nowMs: number): void {
  const index = Math.floor(nowMs / window.partMs)
  let part = window.parts.at(-1)
  if (part === undefined || part.index !== index) {
    part = { index, counts: new Map() }
    window.parts.push(part)
    while ((window.parts[0]?.index ?? index) <= index - PARTS_PER_WINDOW) window.parts.shift()
  }
  part.counts.set(name, (part.counts.get(name) ?? 0) + 1)
}

/** Sums the events of the window that ends at `nowMs`, by name. */
export function sumDemand (window: DemandWindow, nowMs: number): Map<string, number> {
  const oldest = Math.floor(nowMs / window.partMs) - PARTS_PER_WINDOW
  const sums = new Map<string, number>()
  for (const { index, counts } of window.parts) {
    if (index <= oldest) continue
    for (const [name, count] of counts) sums.set(name, (sums.get(name) ?? 0) + count)
  }
  return sums
}
