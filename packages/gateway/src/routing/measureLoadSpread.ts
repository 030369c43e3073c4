import type { ServerState } from '../model/ServerState.js';
import type { LoadTracker } from './createLoadTracker.js';

/**
 * Returns the running requests per slot of the busiest of the servers, relative to their mean; 1 if none
 * is running. With old views, this is what the host expects, not what a server reports.
 */
export function measureLoadSpread(
  servers: readonly ServerState[],
  { running }: Pick<LoadTracker, 'running'>,
): number {
  const usages = servers.map(({ registration: { id, slots } }) => running(id) / Math.max(1, slots));
  const sum = usages.reduce((total, usage) => total + usage, 0);
  return sum === 0 ? 1 : (Math.max(...usages) * usages.length) / sum;
}
