// Crowds of clients fill the memory and the descriptors of a host, or keep the processor of their test busy,
// so they run apart from the other tests.
export default {
  files: ['platform/tests/*.crowds.test.ts'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  timeout: '2m',
  serial: true,
};
