import { measureOverhead } from './measureOverhead.js';

measureOverhead().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
