import { describeError } from '@camphorpitch/wire'
import { FleetError } from '../fleet/errors.ts'

/** Title and duration of one step, and the detail or error printed for it. */
export interface StepResult {
  title: string
  elapsedMs: number
  detail: string
}

/** Runs named steps and prints each with its duration and outcome. */
export class StepRunner {
  readonly #results: StepResult[] = []
  #hasFailed = false

  get hasFailed (): boolean {
    return this.#hasFailed
  }

  /** Runs and prints one step. `run` returns the detail to print; an error that it throws is printed and marks the whole run as failed. */
  async runStep (title: string, run: () => Promise<string>): Promise<void> {
    const startedAtMs = performance.now()
    try {
      const detail = await run()
      this.#reportStep(title, performance.now() - startedAtMs, 'ok', detail)
    } catch (error) {
      this.#hasFailed = true
      this.#reportStep(title, performance.now() - startedAtMs, 'FAILED', describeError(error))
    }
  }

  #reportStep (title: string, elapsedMs: number, verdict: string, detail: string): void {
    this.#results.push({ title, elapsedMs, detail })
    process.stdout.write(`${elapsedMs.toFixed(0).padStart(6)} ms  ${verdict.padEnd(6)}  ${title}: ${detail}\n`)
  }
}

/** @throws FleetError with `message` when the condition is false */
export function checkCondition (condition: boolean, message: string): void {
  if (!condition) throw new FleetError(message)
}

/**
 * Calls `probe` repeatedly until it returns a value other than `undefined`, and returns that value.
 *
 * @param description what is waited for, for the error message
 * @throws FleetError after `timeoutMs`
 */
export async function waitForValue<T> (description: string, timeoutMs: number, probe: () => Promise<T | undefined>): Promise<T> {
  const deadlineMs = performance.now() + timeoutMs
  while (performance.now() < deadlineMs) {
    const value = await probe()
    if (value !== undefined) return value
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
  }
  throw new FleetError(`waiting for ${description} timed out after ${timeoutMs} ms`)
}

const POLL_INTERVAL_MS = 20
