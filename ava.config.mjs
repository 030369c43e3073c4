export default {
  files: [
    'packages/*/tests/**/*.test.ts',
    'platform/tests/**/*.test.ts',
    // Run apart from the others: ava.crowds.config.mjs.
    '!platform/tests/*.crowds.test.ts',
  ],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  // Threads share the sockets of their process, and a program that one of them starts holds them open
  // until it runs: connections that another one closes would end later.
  workerThreads: false,
  timeout: '2m',
  // Tests listed in KNOWN-RED.txt are excluded here by title, with a pattern `'!title'` each.
  match: ['*', '!callers of a host that reaches no server are served like those of others'],
};
