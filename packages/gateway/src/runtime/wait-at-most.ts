/**
 * Waits for a promise, for at most `waitMs`. After that it rejects with the error that `createError` returns. The
 * operation behind the promise is not cancelled.
 *
 * @example await waitAtMost(response, 400, () => new ConnectionLostError('no response within 400 ms'))
 */
export async function waitAtMost<T> (promise: Promise<T>, waitMs: number, createError: () => Error): Promise<T> {
  let timer: NodeJS.Timeout | undefined
  const expired = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(createError()), waitMs)
  })
  try {
    return await Promise.race([promise, expired])
  } finally {
    clearTimeout(timer)
    promise.catch(() => {}) // A rejection after the timeout is ignored, as the caller already has the timeout error.
  }
}

/** Waits for `ms` milliseconds. */
export async function waitFor (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
