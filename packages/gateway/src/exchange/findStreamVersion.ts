import type { VersionFinding } from '../streams/createStreamSearch.js';
import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import type { GatewayContext } from './GatewayContext.js';
import { isResumed } from './isResumed.js';
import { streamOf } from './streamOf.js';

/** Part of the time until the deadline that the search may take; a later rejection would be a timeout. */
const MAX_SEARCH_RATIO = 0.5;

/** Finds the version in time to reject the request as not run if it is unknown. */
async function searchVersion(
  { clock, streamVersions }: GatewayContext,
  exchange: Exchange,
  signal: AbortSignal,
): Promise<VersionFinding> {
  const limit = new AbortController();
  const stop = AbortSignal.any([signal, limit.signal]);
  const limitMs = (exchange.deadlineAtMs - clock.monotonicMs()) * MAX_SEARCH_RATIO;
  void clock
    .sleep(limitMs, stop)
    .catch(() => undefined)
    .then(() => limit.abort());
  try {
    return await streamVersions.find(streamOf(exchange), exchange.service.name, stop);
  } finally {
    limit.abort();
  }
}

/**
 * Finds the software version at which a resumed stream must go on. Returns false if it is not known
 * while the service has several; the stream must then not go on.
 */
export async function findStreamVersion(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  signal: AbortSignal,
): Promise<boolean> {
  const { metadata, route, service } = exchange;
  if (exchange.requiredVersion !== undefined) {
    progress.requiredVersion = exchange.requiredVersion;
    progress.versionSource = 'relay';
    return true;
  }
  if (!route.resumable || !isResumed(metadata)) {
    return true;
  }
  const finding = await searchVersion(context, exchange, signal);
  // A stream without a record may have begun at the service that the route has left.
  const { version, source } =
    finding.source !== 'record' && context.routeMoves.hasMoved(route)
      ? { version: undefined, source: 'unknown' as const }
      : finding;
  progress.requiredVersion = version;
  progress.versionSource = source;
  context.metrics.increment('resumed_streams', { service: service.name, source });
  if (version === undefined) {
    progress.causes.push('software version of the stream is unknown');
    progress.stopCause = 'version-unknown';
  }
  return version !== undefined;
}
