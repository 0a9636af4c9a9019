import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['target/**', '**/dist/**', 'reports/**'] }),
  {
    files: ['**/*.test.ts'],
    rules: { 'no-unused-expressions': 'off', '@typescript-eslint/no-unused-expressions': 'off' }
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
