import type { ResponseVersion } from '../streams/VersionClaim.js';
import { admitStream } from './admitStream.js';
import type { AttemptResult } from './AttemptResult.js';
import type { AttemptSignals } from './AttemptSignals.js';
import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import { forwardToPeer } from './forwardToPeer.js';
import { forwardToServer } from './forwardToServer.js';
import type { GatewayContext } from './GatewayContext.js';
import { maxRuns } from './maxRuns.js';
import type { PreparedAttempt } from './prepareAttempt.js';
import type { StreamSpan } from './StreamSpan.js';

/** Records that the request did not get as far as a connection to the server. */
function recordConnectFailure(progress: ExchangeProgress, result: AttemptResult): void {
  if (result.kind !== 'not-run' || result.reachedServer || result.hasArrived) {
    return;
  }
  if (result.isRefused === true) {
    progress.refusedConnects += 1;
  } else {
    progress.timedOutConnects += 1;
  }
}

/**
 * Makes one attempt at a server or through a peer and records what it says about them.
 *
 * @param reserveNext reserves the next attempt, once the server has been silent for long
 */
export async function attemptDestination(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  { destination }: PreparedAttempt,
  signals: AttemptSignals,
  reserveNext: () => boolean,
): Promise<AttemptResult> {
  const { lastEventId, hasUnconfirmedEnd: mayBeEmpty } = progress;
  const onResponseStart = (): void => {
    progress.firstEventMs ??= context.clock.monotonicMs() - exchange.arrivedAtMs;
  };
  const onEvents = (count: number): void => {
    if (count === 0) {
      return;
    }
    const nowMs = context.clock.monotonicMs();
    if (progress.eventCount === 0) {
      context.partSuspicion.recordServed(exchange.sharedPartKeys());
    } else {
      progress.longestGapMs = Math.max(progress.longestGapMs, nowMs - progress.lastEventAtMs);
    }
    progress.lastEventAtMs = nowMs;
    progress.eventCount += count;
  };
  const admit = (version: ResponseVersion | undefined): boolean | Promise<boolean> =>
    admitStream(context, exchange, progress, version, signals.signal);
  const onSpan = (span: StreamSpan): void => {
    progress.spans.push(span);
  };
  progress.lastChoice = destination;
  progress.lastAttemptMs = context.clock.monotonicMs() - exchange.arrivedAtMs;
  if (destination.kind === 'region') {
    const { host } = destination.peer.heartbeat;
    const result = await forwardToPeer({
      context,
      exchange,
      destination,
      lastEventId,
      mayBeEmpty,
      ...signals,
      onResponseStart,
      onEvents,
      requiredVersion: progress.requiredVersion,
      admitStream: admit,
      onSpan,
    });
    const scope = destination.isOwnRegion ? 'own-region' : 'other-region';
    context.metrics.increment('relays', { scope, result: result.kind });
    // A rejection holds for the whole region, unless it is due to the host. After a failure of one of
    // its servers, another server of the region may still succeed.
    if (result.kind === 'not-run' && result.concernsHostOnly === true) {
      progress.rejectingHosts.add(host.id);
      progress.neighbourRejections += destination.isOwnRegion ? 1 : 0;
    } else if (result.kind === 'not-run') {
      progress.triedRegions.add(host.region);
    }
    return result;
  }
  const { id } = destination.server.registration;
  progress.reportedWaiting = context.loads.reportedWaiting(id);
  progress.triedServers.add(id);
  const mayRetry = exchange.route.idempotent && progress.runs + 1 < maxRuns(exchange);
  const result = await forwardToServer({
    context,
    exchange,
    destination,
    reserveNext: mayRetry ? reserveNext : undefined,
    lastEventId,
    mayBeEmpty,
    ...signals,
    onResponseStart,
    onEvents,
    admitStream: admit,
    onSpan,
  });
  recordConnectFailure(progress, result);
  return result;
}
