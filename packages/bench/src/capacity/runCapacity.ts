import type { Measurement } from './Measurement.js';
import { measureConfiguration } from './measureConfiguration.js';
import { measureLoadPolls } from './measureLoadPolls.js';
import { measurePeers } from './measurePeers.js';
import { measureServers } from './measureServers.js';
import { measureTables } from './measureTables.js';

const PEERS = [50, 200, 500, 1_100];
const SERVERS = [16, 250, 700];
const CONCURRENT_POLLS = [1, 8, 32];
const CUSTOMERS = [100, 500, 2_200];

/** Runs all measurements; `small` measures only the smallest size of each. */
export async function runCapacity(scale: 'full' | 'small' = 'full'): Promise<Measurement[]> {
  const pick = (sizes: readonly number[]): readonly number[] =>
    scale === 'full' ? sizes : sizes.slice(0, 1);
  return [
    ...(await measurePeers(pick(PEERS))),
    ...(await measureServers(pick(SERVERS))),
    ...(await measureLoadPolls(pick(CONCURRENT_POLLS))),
    ...(await measureConfiguration(pick(CUSTOMERS))),
    ...(await measureTables(scale)),
  ];
}
