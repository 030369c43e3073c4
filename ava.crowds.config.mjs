// Crowds of clients fill the memory and the descriptors of a host, or keep the processor of their test busy,
// so they run apart from the other tests.
export default {
  files: ['platform/tests/*.crowds.test.ts'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  // Node.js 20 does not load TypeScript in threads.
  workerThreads: false,
  timeout: '2m',
  serial: true,
};
