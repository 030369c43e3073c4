import { runDemo } from './runDemo.js';

runDemo().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
