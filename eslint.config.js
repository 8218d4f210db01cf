import gts from 'gts/build/src/index.js';

export default [
  {
    ignores: [
      'build/**',
      'target/**',
      'node_modules/**',
      'src/peer/gen/**',
      'tools/*.mjs',
      'tools/*.cjs',
      'eslint.config.js',
    ],
  },
  ...gts,
  {
    rules: {
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      '@typescript-eslint/no-explicit-any': 'error',
    },
  },
];
