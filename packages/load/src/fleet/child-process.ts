import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { z } from 'zod'
import { FleetError } from './errors.ts'

const START_TIMEOUT_MS = 20_000
const STOP_TIMEOUT_MS = 20_000

/** Children that this process would leave behind if it ended now. */
const runningChildren = new Set<ChildProcess>()
process.once('exit', () => { for (const child of runningChildren) child.kill('SIGKILL') })

/** Ends this process, and with it its children, on SIGINT and SIGTERM. */
export function handleInterrupt (): void {
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1))
}

const logLineSchema = z.looseObject({ message: z.string() })
export type LogLine = z.infer<typeof logLineSchema>

/** A process of the tool's own, started from a settings file. */
export interface StartedProcess {
  pid: number
  /** The log line by which it said that it is ready. */
  ready: LogLine
  /** Sends a signal to this process. */
  signal: (name: NodeJS.Signals) => void
  /** Ends it by SIGTERM, by SIGKILL when that takes too long; resolves to its exit code. */
  stop: () => Promise<number | null>
  kill: () => Promise<void>
}

export interface ChildOptions {
  binary: string
  settingsFile: string
  onLogLine?: (line: LogLine) => void
}

/**
 * Starts a binary and waits for its `listening` line.
 *
 * @throws FleetError when it ends before it is ready
 */
export async function startChild ({ binary, settingsFile, onLogLine }: ChildOptions): Promise<StartedProcess> {
  const child = spawn(process.execPath, [binary, '--settings', settingsFile], { stdio: ['ignore', 'pipe', 'pipe'] })
  runningChildren.add(child)
  child.once('exit', () => runningChildren.delete(child))
  const stderrChunks: string[] = []
  child.stderr.on('data', (data: Buffer) => stderrChunks.push(data.toString()))
  const ready = await waitForReady(child, onLogLine).catch(cause => {
    child.kill('SIGKILL')
    throw new FleetError(`${binary} did not start: ${stderrChunks.join('')}`, { cause })
  })
  return {
    pid: child.pid as number,
    ready,
    signal: name => { child.kill(name) },
    stop: async () => await stopChild(child),
    kill: async () => await killChild(child)
  }
}

async function waitForReady (child: ChildProcess, onLogLine: ((line: LogLine) => void) | undefined): Promise<LogLine> {
  const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream })
  return await new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new FleetError('no listening line in time')), START_TIMEOUT_MS)
    child.once('exit', code => reject(new FleetError(`exit code ${code}`)))
    lines.on('line', text => {
      const line = parseLogLine(text)
      if (line === undefined) return
      onLogLine?.(line)
      if (line.message !== 'listening') return
      clearTimeout(timer)
      resolve(line)
    })
  })
}

function parseLogLine (text: string): LogLine | undefined {
  try {
    return logLineSchema.parse(JSON.parse(text))
  } catch {
    return undefined
  }
}

function hasExited (child: ChildProcess): boolean {
  return child.exitCode !== null || child.signalCode !== null
}

async function stopChild (child: ChildProcess): Promise<number | null> {
  if (hasExited(child)) return child.exitCode
  const exited = once(child, 'exit')
  child.kill('SIGTERM')
  const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS)
  await exited
  clearTimeout(timer)
  return child.exitCode
}

async function killChild (child: ChildProcess): Promise<void> {
  if (hasExited(child)) return
  const exited = once(child, 'exit')
  child.kill('SIGKILL')
  await exited
}
