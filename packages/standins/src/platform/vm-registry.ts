import type { Vm } from '@camphorpitch/wire'

interface VmChange {
  visibleAtMs: number
  name: string
  vm: Vm | null
}

/** The list of live and leaving VMs; a change becomes visible only at `visibleAtMs`. */
export class VmRegistry {
  readonly #vms = new Map<string, Vm>()
  #changes: VmChange[] = []

  /** Records the state of a VM; `null` removes it from the list. */
  recordVm (name: string, vm: Vm | null, visibleAtMs: number): void {
    this.#changes.push({ visibleAtMs, name, vm })
  }

  listVms (nowMs: number): Vm[] {
    const due = this.#changes.filter(c => c.visibleAtMs <= nowMs)
    this.#changes = this.#changes.filter(c => c.visibleAtMs > nowMs)
    for (const { name, vm } of due) {
      if (vm === null) this.#vms.delete(name)
      else this.#vms.set(name, vm)
    }
    return [...this.#vms.values()]
  }
}
