import type { RoutingRequest } from '../routing/Destination.js';
import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';

/**
 * What the router is asked for a request's next try. A stream that goes on behind an event cost a
 * server work, for this host, for the one that passed it on, or in an earlier attempt of the caller.
 */
export function toRoutingRequest(
  exchange: Exchange,
  progress: Pick<ExchangeProgress, 'runs' | 'lastEventId' | 'triedServers' | 'triedRegions'>,
  remainingMs: number,
): RoutingRequest {
  const { route, service, metadata: facts, expectedEvents, typicalEvents } = exchange;
  return {
    route,
    service,
    metadata: facts,
    expectedEvents,
    typicalEvents,
    remainingMs,
    triedServers: progress.triedServers,
    triedRegions: progress.triedRegions,
    isRetry: progress.runs > 0 || progress.lastEventId !== undefined,
    isRelayed: exchange.relayedBy !== undefined,
  };
}
