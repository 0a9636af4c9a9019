// Writes the published JSON Schema of contracts.
import { writeFileSync } from 'node:fs'
import { createDocumentSchema } from '../packages/ctl/src/index.ts'

writeFileSync('docs/contract.schema.json', `${JSON.stringify(createDocumentSchema('contract'), null, 2)}\n`)
