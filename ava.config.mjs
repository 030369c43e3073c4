export default {
  files: ['packages/*/tests/**/*.test.ts'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  timeout: '2m',
};
