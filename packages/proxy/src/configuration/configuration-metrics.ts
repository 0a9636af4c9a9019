import { Gauge, type Registry } from 'prom-client'
import type { ConfigurationReport } from './configuration.ts'

/**
 * Registers the gauges of the configuration slice. Their values are read whenever the metrics are scraped.
 *
 * @example addConfigurationMetrics(metrics.registry, () => configuration.readReport())
 */
export function addConfigurationMetrics (registry: Registry, readReport: () => ConfigurationReport): void {
  addGauge(registry, 'revision', 'Revision of the object service up to which this VM is complete', () => readReport().revision)
  addGauge(registry, 'age_seconds', 'Time since this VM surely had all that was accepted', () => readReport().ageMs / 1_000)
  addGauge(registry, 'invalid_objects', 'Objects whose stored value is invalid, so that an older one is in force', () => readReport().invalidObjects.length)
  addGauge(registry, 'watcher', '1 while this VM watches the object service', () => readReport().isWatcher ? 1 : 0)
}

function addGauge (registry: Registry, name: string, help: string, readValue: () => number): void {
  const gauge: Gauge = new Gauge({
    name: `camphorpitch_configuration_${name}`,
    help,
    registers: [registry],
    collect: () => gauge.set(readValue())
  })
}
