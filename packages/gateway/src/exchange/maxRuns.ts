import type { Exchange } from './Exchange.js';

/** Number of servers that may run the request; the relaying host retries a relayed one. */
export function maxRuns(exchange: Exchange): number {
  return exchange.relayedBy === undefined ? exchange.route.maxServers : 1;
}
