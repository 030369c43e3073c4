import type { DispatchQueue } from './createDispatchQueue.js';

/** Creates a queue that releases every request at once, for experiments in virtual time. */
export function createPassThroughDispatchQueue(): DispatchQueue {
  return { wait: async () => undefined, size: () => 0 };
}
