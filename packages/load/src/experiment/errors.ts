import { BaseError } from '@camphorpitch/wire'

/** An experiment or scenario could not be set up, or one of its faults could not be injected. */
export const ExperimentError = BaseError.subclass('ExperimentError')
