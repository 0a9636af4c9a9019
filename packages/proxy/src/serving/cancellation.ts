/** Tells the steps of a running request that its client no longer wants the response. */
export interface Cancellation {
  isCancelled: boolean
  /** Ends the step that the request is waiting for; each step sets its own function and clears it when it ends. */
  cancelCurrentStep: (() => void) | null
}

export function createCancellation (): Cancellation {
  return { isCancelled: false, cancelCurrentStep: null }
}

/**
 * Wraps a generator so that `return` and `throw` cancel its current step at once.
 *
 * An async generator handles `return` only at its next `yield`. Until then it would keep waiting for a
 * connection or running a statement whose result is no longer wanted.
 */
export function makeCancellable<Value> (values: AsyncGenerator<Value, void, void>, cancellation: Cancellation): AsyncGenerator<Value, void, void> {
  const cancel = (): void => {
    cancellation.isCancelled = true
    cancellation.cancelCurrentStep?.()
  }
  const cancellable = Object.create(values) as AsyncGenerator<Value, void, void>
  cancellable.next = () => values.next()
  cancellable.return = async value => {
    cancel()
    return await values.return(value)
  }
  cancellable.throw = async error => {
    cancel()
    return await values.throw(error)
  }
  cancellable[Symbol.asyncIterator] = () => cancellable
  return cancellable
}
