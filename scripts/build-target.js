import { execFileSync } from 'node:child_process'
import { copyFileSync, rmSync } from 'node:fs'
import { build } from 'esbuild'

/** Flags of the runtime in deploy/system.toml: compiled code is only taken under the flags it was made with. */
const RUNTIME_FLAGS = ['--max-old-space-size=200']

// One file, so that a start reads and compiles no more than it needs.
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
execFileSync('node', [...RUNTIME_FLAGS, 'target/gateway.cjs', '--version'], { env: { ...process.env, WRITE_CODE_CACHE: '1' } })
