const READ_TIMEOUT_MS = 5_000

/**
 * Sends a GET request to a control port.
 *
 * @returns the parsed JSON, or `null` when the process is gone, does not respond in time or sends no JSON
 */
export async function readJson<T> (url: string): Promise<T | null> {
  try {
    const response = await fetch(url, { signal: AbortSignal.timeout(READ_TIMEOUT_MS) })
    return await response.json() as T
  } catch {
    return null
  }
}
