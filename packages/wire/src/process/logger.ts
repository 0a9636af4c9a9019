import winston from 'winston'
import { BoundedOutput } from './bounded-output.ts'
import { createLineLimiterState, limitLines } from './line-limiter.ts'

export type Logger = winston.Logger
export const logLevelNames = ['error', 'warn', 'info', 'debug', 'silent'] as const
export type LogLevel = typeof logLevelNames[number]

export interface LoggerOptions {
  /** Name of the process, on every line. */
  process: string
  level?: LogLevel
}

let output: BoundedOutput | undefined

/** All loggers of a process share its standard output. */
function openOutput (): BoundedOutput {
  if (output !== undefined) return output
  const newOutput = new BoundedOutput()
  process.on('exit', () => newOutput.flushSync())
  output = newOutput
  return newOutput
}

/** Creates a logger that writes one JSON object a line to standard output, bounded in volume and never waiting for the reader. */
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
