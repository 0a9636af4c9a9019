import winston from 'winston'
import { BoundedOutput } from './bounded-output.ts'
import { createLineLimits, limitLines } from './line-limiter.ts'

export type Logger = winston.Logger
export const logLevelNames = ['error', 'warn', 'info', 'debug', 'silent'] as const
export type LogLevel = typeof logLevelNames[number]

export interface LoggerOptions {
  /** Name of the process, on every line. */
  process: string
  level?: LogLevel
}

/** Creates a logger that writes one JSON object a line to standard output, bounded in volume and never waiting for the reader. */
export function createLogger (options: LoggerOptions): Logger {
  const { process: name, level = 'info' } = options
  const output = new BoundedOutput()
  process.on('exit', () => output.flushNow())
  return winston.createLogger({
    level: level === 'silent' ? 'error' : level,
    silent: level === 'silent',
    defaultMeta: { process: name },
    format: winston.format.combine(limitLines(createLineLimits()), winston.format.timestamp(), winston.format.errors({ stack: true }), winston.format.json()),
    transports: [new winston.transports.Stream({ stream: output })]
  })
}
