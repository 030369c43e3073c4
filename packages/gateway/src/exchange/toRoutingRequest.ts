import type { RoutingRequest } from '../routing/Destination.js';
import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';

/** Refused connections after which others are assumed to be refused, too. */
const MAX_REFUSED_CONNECTS = 2;

/** A refusal takes no time, and a server alone may be the reason; a timeout takes much of the deadline. */
const failsToConnect = ({
  refusedConnects = 0,
  timedOutConnects = 0,
}: Partial<Pick<ExchangeProgress, 'refusedConnects' | 'timedOutConnects'>>): boolean =>
  timedOutConnects > 0 || refusedConnects >= MAX_REFUSED_CONNECTS;

/**
 * Builds the routing request for the next attempt. A stream that resumes after an event counts as a
 * retry: a server has already done work for it, sent by this host, by the host that relayed the
 * request, or in an earlier attempt of the caller.
 */
export function toRoutingRequest(
  exchange: Exchange,
  progress: Pick<
    ExchangeProgress,
    'runs' | 'lastEventId' | 'triedServers' | 'triedRegions' | 'rejectingHosts'
  > &
    Partial<
      Pick<
        ExchangeProgress,
        'requiredVersion' | 'refusedConnects' | 'timedOutConnects' | 'neighbourRejections'
      >
    >,
  remainingMs: number,
): RoutingRequest {
  const { route, service, customer, metadata, expectedEvents, typicalEvents } = exchange;
  return {
    route,
    service,
    customer: customer?.id,
    metadata,
    expectedEvents,
    typicalEvents,
    remainingMs,
    triedServers: progress.triedServers,
    triedRegions: progress.triedRegions,
    rejectingHosts: progress.rejectingHosts,
    isRetry: progress.runs > 0 || progress.lastEventId !== undefined,
    isRelayed: exchange.relayedBy !== undefined,
    isLastRun: !route.idempotent || progress.runs + 1 >= route.maxServers,
    isLate: exchange.isLate,
    requiredVersion: progress.requiredVersion,
    failsToConnect: failsToConnect(progress),
    neighbourRejections: progress.neighbourRejections,
  };
}
