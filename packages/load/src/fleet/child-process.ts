import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { z } from 'zod'
import { FleetError } from './errors.ts'

const START_TIMEOUT_MS = 20_000
const STOP_TIMEOUT_MS = 20_000

/** Running children; killed when this process exits, so that none is left behind. */
const runningChildren = new Set<ChildProcess>()
process.once('exit', () => { for (const child of runningChildren) child.kill('SIGKILL') })

/** Makes this process exit with code 1 on SIGINT and SIGTERM, which kills its children too. */
export function handleInterrupt (): void {
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1))
}

const logLineSchema = z.looseObject({ message: z.string() })
export type LogLine = z.infer<typeof logLineSchema>

/** A child process that was started with a settings file. */
export interface StartedProcess {
  pid: number
  /** The `listening` log line, by which the process reported that it is ready. */
  ready: LogLine
  /** Resolves when the process has ended. */
  exited: Promise<void>
  /** Sends a signal without waiting for its effect. */
  signal: (name: NodeJS.Signals) => void
  /** Sends SIGTERM, and SIGKILL if the process is still running after a timeout. Resolves to the exit code, or `null` if a signal ended the process. */
  stop: () => Promise<number | null>
  /** Sends SIGKILL and waits for the exit. */
  kill: () => Promise<void>
}

export interface ChildOptions {
  binary: string
  settingsFile: string
  /** Called with each JSON log line of the process. */
  onLogLine?: (line: LogLine) => void
}

/**
 * Starts a Node.js program and waits for its `listening` log line.
 *
 * @param binary path of the program's entry file
 * @throws FleetError when the process exits or a timeout passes before that line
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
    exited: hasExited(child) ? Promise.resolve() : once(child, 'exit').then(() => {}),
    signal: name => { child.kill(name) },
    stop: async () => await stopChild(child),
    kill: async () => await killChild(child)
  }
}

async function waitForReady (child: ChildProcess, onLogLine: ((line: LogLine) => void) | undefined): Promise<LogLine> {
  const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream })
  return await new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new FleetError('expected a listening log line before the start timeout')), START_TIMEOUT_MS)
    child.once('exit', code => reject(new FleetError(`process exited with code ${code} before its listening log line`)))
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
