import { describeError } from '@camphorpitch/wire'
import { FleetError } from '../fleet/errors.ts'

/** Milliseconds of one step and whether it held. */
export interface StepResult {
  title: string
  elapsedMs: number
  detail: string
}

/** Runs named steps and prints each with the time it took. */
export class StepRunner {
  readonly #results: StepResult[] = []
  #failed = false

  get hasFailed (): boolean {
    return this.#failed
  }

  /** Runs one step; a thrown error marks the run as failed and is printed. `run` returns what is worth showing. */
  async runStep (title: string, run: () => Promise<string>): Promise<void> {
    const startedAtMs = performance.now()
    try {
      const detail = await run()
      this.#reportStep(title, performance.now() - startedAtMs, 'ok', detail)
    } catch (error) {
      this.#failed = true
      this.#reportStep(title, performance.now() - startedAtMs, 'FAILED', describeError(error))
    }
  }

  #reportStep (title: string, elapsedMs: number, verdict: string, detail: string): void {
    this.#results.push({ title, elapsedMs, detail })
    process.stdout.write(`${elapsedMs.toFixed(0).padStart(6)} ms  ${verdict.padEnd(6)}  ${title}: ${detail}\n`)
  }
}

/** @throws FleetError when the condition does not hold */
export function checkCondition (condition: boolean, message: string): void {
  if (!condition) throw new FleetError(message)
}

/** Waits until `probe` gives something other than `undefined`; @throws FleetError after `timeoutMs` */
export async function waitForValue<T> (description: string, timeoutMs: number, probe: () => Promise<T | undefined>): Promise<T> {
  const deadlineMs = performance.now() + timeoutMs
  while (performance.now() < deadlineMs) {
    const value = await probe()
    if (value !== undefined) return value
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
  }
  throw new FleetError(`${description}: not within ${timeoutMs} ms`)
}

const POLL_INTERVAL_MS = 20
