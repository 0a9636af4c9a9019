// Checks that the name of each function begins with a verb listed in docs/VERBS.md; prints the others and exits with 1.
import { readFileSync } from 'node:fs'
import { globSync } from 'glob'
import ts from 'typescript'

/** Reads the verbs of docs/VERBS.md: the comma-separated words in the first column of its table. */
function readVerbs () {
  const tableRows = readFileSync('docs/VERBS.md', 'utf8').split('\n').filter(l => l.startsWith('| ') && !l.startsWith('| verb') && !l.startsWith('| ---'))
  return new Set(tableRows.flatMap(r => r.split('|')[1].split(',').map(v => v.trim())))
}

/** Whether a node declares a named function, method or arrow function. */
function isFunctionName (node) {
  if (node.name === undefined) return false
  if (ts.isFunctionDeclaration(node) || ts.isMethodDeclaration(node) || ts.isMethodSignature(node)) return true
  return ts.isVariableDeclaration(node) && node.initializer !== undefined && ts.isArrowFunction(node.initializer)
}

function listBadNames (file, verbs) {
  const source = ts.createSourceFile(file, readFileSync(file, 'utf8'), ts.ScriptTarget.Latest, true)
  const badNames = []
  const visit = node => {
    if (isFunctionName(node) && (ts.isIdentifier(node.name) || ts.isPrivateIdentifier(node.name))) {
      const name = node.name.text.replace(/^[#_]/, '')
      const verb = /^[a-z]+/.exec(name)?.[0] ?? ''
      const line = source.getLineAndCharacterOfPosition(node.getStart()).line + 1
      if (!verbs.has(verb)) badNames.push(`${file}:${line}: ${name}`)
    }
    ts.forEachChild(node, visit)
  }
  visit(source)
  return badNames
}

const verbs = readVerbs()
const misnamed = globSync(['packages/*/src/**/*.ts', 'platform/src/**/*.ts'], { ignore: '**/*.test.ts' }).sort().flatMap(f => listBadNames(f, verbs))
for (const name of misnamed) console.log(`${name}: does not begin with a verb listed in docs/VERBS.md`)
process.exit(misnamed.length > 0 ? 1 : 0)
