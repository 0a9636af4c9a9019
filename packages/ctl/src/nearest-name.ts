/** Edits by which a suggested name may differ at most from the given one. */
const MAX_EDIT_DISTANCE = 3

/**
 * Finds the candidate that differs from `name` by the fewest edits, ignoring case. Returns `undefined`
 * when each candidate differs by more than `MAX_EDIT_DISTANCE` edits or by more than half of the name's length.
 *
 * @example findNearestName('statmentTimeoutMs', ['rate', 'statementTimeoutMs']) // 'statementTimeoutMs'
 */
export function findNearestName (name: string, candidates: readonly string[]): string | undefined {
  const ranked = candidates
    .map(candidate => ({ candidate, distance: computeEditDistance(name.toLowerCase(), candidate.toLowerCase()) }))
    .filter(r => r.distance <= Math.min(MAX_EDIT_DISTANCE, Math.ceil(name.length / 2)))
  ranked.sort((a, b) => a.distance - b.distance)
  return ranked[0]?.candidate
}

/** Computes the Levenshtein distance one matrix row at a time (Wagner and Fischer, 1974). */
function computeEditDistance (a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, j) => j)
  for (let i = 1; i <= a.length; i++) {
    const next = [i]
    for (let j = 1; j <= b.length; j++) {
      const substitutionDistance = (row[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1)
      next.push(Math.min(substitutionDistance, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1))
    }
    row = next
  }
  return row[b.length] ?? 0
}
