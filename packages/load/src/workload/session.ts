/** A client's session with the system under load. */
export abstract class ClientSession {
  /** Runs one statement and resolves to the first column of its first row, or `null`. */
  abstract run (text: string): Promise<string | null>
  /** Continues the session at the next VM, with its session token. */
  abstract moveToNextVm (): Promise<void>
  abstract close (): void
}

export interface SessionOptions {
  workspace: string
  database: string
  /** Index of the first VM, modulo the number of VMs. */
  vmIndex: number
  /** Timeout of each statement. */
  timeoutMs: number
}

/** The system under load: the fleet's proxies, or the naive baseline. */
export abstract class LoadTarget {
  abstract openSession (options: SessionOptions): Promise<ClientSession>
}
