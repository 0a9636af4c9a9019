export { handleInterrupt, startChild, type LogLine, type StartedProcess } from './fleet/child-process.ts'
export { LoopbackLink, type LinkMode } from './fleet/loopback-link.ts'
