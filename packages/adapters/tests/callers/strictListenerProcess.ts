// Runs the strict listener in a process of its own and reports the memory of this process.
import { startStrictListener } from './startStrictListener.js';

await startStrictListener(Number(process.argv[2]));
process.on('message', () => process.send?.(process.memoryUsage().rss));
process.on('disconnect', () => process.exit(0));
process.send?.('started');
