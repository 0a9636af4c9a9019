/** Tells the parts of a running request that its caller has gone. */
export interface Cancellation {
  isCancelled: boolean
  /** Ends what the request waits for now; replaced as it goes on. */
  cancelCurrentStep: (() => void) | null
}

export function createCancellation (): Cancellation {
  return { isCancelled: false, cancelCurrentStep: null }
}

/**
 * Makes the end of a generator take effect while the generator still waits for its next value.
 *
 * An async generator sees `return` only at its next `yield`; until then it would go on queueing and
 * running a statement that nobody wants.
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
