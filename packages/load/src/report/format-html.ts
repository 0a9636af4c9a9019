import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import type { RunResult } from '../experiment/run-experiment.ts'
import type { Experiment } from '../experiment/schema.ts'
import { listRows } from './format-table.ts'

function readPlotFile (name: string): string {
  return readFileSync(createRequire(import.meta.url).resolve(`uplot/dist/${name}`), 'utf8')
}

function encodeHtml (text: string): string {
  return text.replace(/[&<>"]/g, c => `&#${c.charCodeAt(0)};`)
}

/** Encodes a value as JSON that is safe inside a script element. */
function formatScriptJson (value: unknown): string {
  return JSON.stringify(value).replaceAll('<', '\\u003c')
}

function formatRows (results: readonly RunResult[]): string {
  const head = `<tr><th></th>${results.map(r => `<th>${r.system}</th>`).join('')}</tr>`
  const body = listRows(results).map(([label, ...cells]) => `<tr><th>${label}</th>${cells.map(c => `<td>${encodeHtml(c)}</td>`).join('')}</tr>`)
  return [head, ...body].join('\n')
}

const STYLE = `body { font: 15px system-ui, sans-serif; max-width: 980px; margin: 2em auto; padding: 0 1em }
table { border-collapse: collapse } th, td { text-align: left; padding: .25em 1em .25em 0; border-bottom: 1px solid #ddd }
pre { white-space: pre-wrap; background: #f6f6f6; padding: 1em }`

/** Draws the plots in the browser. */
const SCRIPT = `const charts = document.getElementById('charts')
const draw = (title, x, series) => new uPlot({
  title, width: 940, height: 240, scales: { x: { time: false } }, axes: [{ label: 'seconds' }, {}],
  series: [{ label: 's' }, ...series.map(s => ({ label: s.label, stroke: s.stroke, width: 2 }))]
}, [x, ...series.map(s => s.values)], charts)
for (const { system, series } of results) {
  draw(system + ': operations per second', series.seconds, [
    { label: 'ok', stroke: '#1a7f37', values: series.ok },
    { label: 'refused', stroke: '#bf8700', values: series.refused },
    { label: 'failed', stroke: '#cf222e', values: series.failed }
  ])
  draw(system + ': p99 latency, ms', series.seconds, [{ label: 'p99', stroke: '#0969da', values: series.p99Ms }])
}`

/** Formats a self-contained HTML report with the measures, plots over time and the experiment. */
export function formatHtml (experiment: Experiment, results: readonly RunResult[]): string {
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>${encodeHtml(experiment.name)}</title>
<style>${readPlotFile('uPlot.min.css')}
${STYLE}</style>
<h1>${encodeHtml(experiment.name)}</h1>
<table>
${formatRows(results)}
</table>
<div id="charts"></div>
<h2>Experiment</h2>
<pre>${encodeHtml(JSON.stringify(experiment, null, 2))}</pre>
<script>${readPlotFile('uPlot.iife.min.js')}</script>
<script>const results = ${formatScriptJson(results.map(({ system, series }) => ({ system, series })))}
${SCRIPT}</script>
</html>
`
}
