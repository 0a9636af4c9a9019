import { BaseError } from '@camphorpitch/wire'

/** A process of the fleet did not start. */
export const FleetError = BaseError.subclass('FleetError')
