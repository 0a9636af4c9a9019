import { execFileSync } from 'node:child_process'
import { copyFileSync, rmSync } from 'node:fs'
import { build } from 'esbuild'

/** Flags of the runtime in deploy/system.toml. The runtime accepts compiled code only under the flags it was compiled with. */
const RUNTIME_FLAGS = ['--max-old-space-size=200']

// A single bundle, so that the start reads and compiles only the code that is needed.
await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/gateway.bundle.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning'
})
copyFileSync('scripts/start-bundle.cjs', 'target/gateway.cjs')
rmSync('target/gateway.cache', { force: true })
// Starts the bundle once to write its compiled code.
execFileSync('node', [...RUNTIME_FLAGS, 'target/gateway.cjs', '--version'], { env: { ...process.env, WRITE_CODE_CACHE: '1' } })
