import winston from 'winston'
import { BoundedOutput } from './bounded-output.ts'
import { createLineLimiterState, limitLines } from './line-limiter.ts'

export type Logger = winston.Logger
export const logLevelNames = ['error', 'warn', 'info', 'debug', 'silent'] as const
export type LogLevel = typeof logLevelNames[number]

export interface LoggerOptions {
  /** Name of the process, added to every line. */
  process: string
  level?: LogLevel
}

let output: BoundedOutput | undefined

/** Returns the stream to standard output that all loggers of the process share. */
function openOutput (): BoundedOutput {
  if (output !== undefined) return output
  const newOutput = new BoundedOutput()
  process.on('exit', () => newOutput.flushSync())
  output = newOutput
  return newOutput
}

/** Waits until the lines of all loggers are written, for at most `timeoutMs`. */
export async function flushLogs (timeoutMs: number): Promise<void> {
  await output?.flush(timeoutMs)
}

/** Creates a logger that writes one JSON object per line to standard output. It limits repeated lines, and never blocks when the reader of the output is slow. */
export function createLogger (options: LoggerOptions): Logger {
  const { process: name, level = 'info' } = options
  return winston.createLogger({
    level: level === 'silent' ? 'error' : level,
    silent: level === 'silent',
    defaultMeta: { process: name },
    format: winston.format.combine(limitLines(createLineLimiterState()), winston.format.timestamp(), winston.format.errors({ stack: true }), winston.format.json()),
    transports: [new winston.transports.Stream({ stream: openOutput() })]
  })
}
