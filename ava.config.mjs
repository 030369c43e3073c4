export default {
  files: ['packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  timeout: '2m',
  // Tests that KNOWN-RED.txt lists, by title.
  match: ['*', '!a request without home region is served whole by another region'],
};
