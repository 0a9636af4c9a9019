import { BaseError } from '@camphorpitch/wire'

/** Why no connection was to be had; nothing was sent. */
export type PoolRefusal = 'busy' | 'unreachable' | 'gone'

export const PoolError = BaseError.subclass('PoolError', { props: { refusal: 'busy' as PoolRefusal } })
