/**
 * Waits for a promise for `waitMs` at most, then rejects with what `createError` makes. The promise itself goes on.
 *
 * @example await waitAtMost(answer, 400, () => new ConnectionLostError('no answer within 400 ms'))
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
    promise.catch(() => {}) // After the time it was reported already.
  }
}

export async function waitFor (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
