import { BaseError } from '@camphorpitch/wire'

export const FailoverError = BaseError.subclass('FailoverError')
/** The instance did not respond, so the statement may or may not have taken effect. `refused` is true when its port refused the connection. */
export const InstanceUnreachableError = FailoverError.subclass('InstanceUnreachableError', { props: { refused: false } })
/** The instance returned the MySQL error number `errno`. */
export const InstanceRefusalError = FailoverError.subclass('InstanceRefusalError', { props: { errno: 0 } })
/** Fewer instances than a quorum responded in time. */
export const NoQuorumError = FailoverError.subclass('NoQuorumError')
