import type { Destination } from '../routing/Destination.js';
import { admitPromptParts } from './admitPromptParts.js';
import type { AttemptResult } from './AttemptResult.js';
import type { AttemptSignals } from './AttemptSignals.js';
import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import { forwardToPeer } from './forwardToPeer.js';
import { forwardToServer } from './forwardToServer.js';
import type { GatewayContext } from './GatewayContext.js';
import { toRoutingRequest } from './toRoutingRequest.js';

/** Maximum number of attempts when every server rejects the request without running it. */
const MAX_ATTEMPTS = 4;
/** Maximum retry delay sent to callers of an overloaded service. */
const MAX_RETRY_AFTER_MS = 2_000;
/** Retry delay for a request that crashed its servers; by then its crashes have expired. */
const QUARANTINE_RETRY_AFTER_MS = 60_000;

/** Number of servers that may run the request; the relaying host retries a relayed one. */
function maxRuns(exchange: Exchange): number {
  return exchange.relayedBy === undefined ? exchange.route.maxServers : 1;
}

const failureOf = (cause: string): 'silent' | 'broken' => (cause === 'silent' ? cause : 'broken');

/** Records the result of an attempt. Returns whether another attempt is allowed. */
function recordResult(
  exchange: Exchange,
  progress: ExchangeProgress,
  result: AttemptResult,
): boolean {
  const { route } = exchange;
  switch (result.kind) {
    case 'delivered':
    case 'cancelled':
      return false;
    case 'not-run':
      progress.causes.push(result.cause);
      progress.lastFailure = 'rejected';
      return progress.attempts < MAX_ATTEMPTS;
    case 'failed-run':
      progress.causes.push(`status ${result.response.status}`);
      progress.lastFailure = 'error';
      progress.errorResponse = result.response;
      progress.runs += 1;
      return route.idempotent && progress.runs < maxRuns(exchange);
    case 'unknown':
      progress.causes.push(result.cause);
      progress.lastFailure = failureOf(result.cause);
      progress.runs += 1;
      return route.idempotent && progress.runs < maxRuns(exchange);
    case 'interrupted':
      progress.causes.push(`interrupted: ${result.cause}`);
      progress.lastFailure = failureOf(result.cause);
      progress.lastEventId = result.lastEventId ?? progress.lastEventId;
      progress.runs += 1;
      return route.resumable && progress.runs < maxRuns(exchange);
  }
}

async function attemptDestination(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  destination: Exclude<Destination, { kind: 'none' }>,
  signals: AttemptSignals,
): Promise<AttemptResult> {
  const { lastEventId } = progress;
  const onResponseStart = (): void => {
    progress.firstEventMs ??= context.clock.monotonicMs() - exchange.arrivedAtMs;
  };
  const onEvents = (count: number): void => {
    if (progress.eventCount === 0 && count > 0) {
      context.partSuspicion.recordServed(exchange.sharedPartKeys());
    }
    progress.eventCount += count;
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
      ...signals,
      onResponseStart,
      onEvents,
    });
    // A rejection holds for the whole region. After a failure of one of its servers, another server
    // of the region may still succeed.
    if (result.kind === 'not-run') {
      progress.triedRegions.add(host.region);
    }
    return result;
  }
  const { id } = destination.server.registration;
  progress.reportedWaiting = context.loads.reportedWaiting(id);
  progress.triedServers.add(id);
  const mayRetry = exchange.route.idempotent && progress.runs + 1 < maxRuns(exchange);
  return forwardToServer({
    context,
    exchange,
    destination,
    mayRetry,
    lastEventId,
    ...signals,
    onResponseStart,
    onEvents,
  });
}

/** Chooses a destination and makes one attempt there; undefined if none is possible. */
async function attemptOnce(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  signals: AttemptSignals,
): Promise<AttemptResult | undefined> {
  await context.dispatchQueue.wait(signals.startSignal);
  const remainingMs = exchange.deadlineAtMs - context.clock.monotonicMs();
  if (signals.startSignal.aborted || remainingMs <= 0) {
    return undefined;
  }
  const destination = context.router.choose(toRoutingRequest(exchange, progress, remainingMs));
  if (destination.kind === 'none') {
    progress.causes.push(destination.reason);
    progress.stopCause = destination.reason;
    if (destination.reason === 'overloaded') {
      progress.lastChoice = destination.rejected;
      progress.retryAfterMs = Math.min(
        MAX_RETRY_AFTER_MS,
        Math.max(progress.retryAfterMs, destination.rejected.waitMs),
      );
    }
    return undefined;
  }
  if (progress.attempts > 0 && !context.retryBudget.tryWithdraw(exchange.service.name)) {
    progress.causes.push('retry budget exhausted');
    progress.stopCause = 'retry-budget';
    return undefined;
  }
  progress.attempts += 1;
  return attemptDestination(context, exchange, progress, destination, signals);
}

/**
 * Makes attempts until one succeeds or no further one is allowed.
 *
 * @param signal cancels the attempt that runs
 * @param startSignal once aborted, no further attempt starts
 */
export async function runAttempts(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  { signal, startSignal }: AttemptSignals,
): Promise<AttemptResult | undefined> {
  let result: AttemptResult | undefined;
  if (context.crashGuard.isQuarantined(exchange.fingerprint)) {
    progress.causes.push('quarantined after server crashes');
    progress.stopCause = 'quarantined';
    progress.retryAfterMs = QUARANTINE_RETRY_AFTER_MS;
    return result;
  }
  do {
    const admission = await admitPromptParts(context, exchange, progress.runs > 0, startSignal);
    if (admission.kind === 'rejected') {
      progress.causes.push(admission.cause);
      progress.stopCause = 'prompt-part';
      progress.retryAfterMs = admission.retryAfterMs;
      return result;
    }
    const next = await attemptOnce(context, exchange, progress, { signal, startSignal }).finally(
      admission.trial.end,
    );
    if (next === undefined) {
      return result;
    }
    result = next;
  } while (recordResult(exchange, progress, result));
  if (result.kind !== 'delivered' && result.kind !== 'cancelled') {
    progress.stopCause = 'not-repeatable';
  }
  return result;
}
