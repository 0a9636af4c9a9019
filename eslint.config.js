import neostandard, { plugins } from 'neostandard'

const typescript = plugins['typescript-eslint']

export default [
  ...neostandard({ ts: true, ignores: ['target/**', '**/dist/**', 'reports/**'] }),
  {
    files: ['**/*.test.ts'],
    rules: { 'no-unused-expressions': 'off', '@typescript-eslint/no-unused-expressions': 'off' }
  },
  {
    // A promise that nobody awaits must handle its rejection, which otherwise reaches the top of the process.
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    plugins: { '@typescript-eslint': typescript.plugin },
    languageOptions: { parser: typescript.parser, parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error'
    }
  },
  {
    rules: {
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true, IIFEs: true }],
      complexity: ['error', 14]
    }
  },
  { files: ['**/*.test.ts'], rules: { 'max-lines-per-function': 'off', 'max-lines': 'off' } }
]
