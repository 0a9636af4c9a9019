// Bundles the entry points that each package.json lists under camphorpitch.entries into packages/NAME/dist.
import { readdirSync, readFileSync, chmodSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const root = fileURLToPath(new URL('..', import.meta.url))
const packagesDir = join(root, 'packages')

function readManifest (name) {
  return JSON.parse(readFileSync(join(packagesDir, name, 'package.json'), 'utf8'))
}

/** Lists the third-party packages, which the bundles import at run time. */
function listExternals (manifests) {
  const names = manifests.flatMap(m => Object.keys(m.dependencies ?? {}))
  return [...new Set(names)].filter(n => !n.startsWith('@camphorpitch/'))
}

async function buildPackage (name, manifest, external) {
  const entries = manifest.camphorpitch?.entries ?? []
  if (entries.length === 0) return
  const outdir = join(packagesDir, name, 'dist')
  await build({
    entryPoints: entries.map(e => join(packagesDir, name, 'src', `${e}.ts`)),
    outdir,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    sourcemap: 'linked',
    external,
    banner: { js: '#!/usr/bin/env node' },
    logLevel: 'warning'
  })
  for (const e of entries) chmodSync(join(outdir, `${e}.js`), 0o755)
}

const names = readdirSync(packagesDir)
const manifests = names.map(readManifest)
const externalPackages = listExternals(manifests)
await Promise.all(names.map((name, i) => buildPackage(name, manifests[i], externalPackages)))
