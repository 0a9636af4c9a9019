import { build } from 'esbuild'

// One file, so that a start reads and compiles no more than it needs.
await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/gateway.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: false,
  treeShaking: true,
  banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);" },
  logLevel: 'warning'
})
