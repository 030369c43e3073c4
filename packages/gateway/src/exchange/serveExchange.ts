import type { Destination } from '../routing/Destination.js';
import { admitPromptParts } from './admitPromptParts.js';
import { describeChoice } from './describeChoice.js';
import type { Exchange } from './Exchange.js';
import type { GatewayContext } from './GatewayContext.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import { sendFinalResponse } from './sendFinalResponse.js';
import type { AttemptSignals } from './AttemptSignals.js';
import { toRoutingRequest } from './toRoutingRequest.js';
import { forwardToPeer } from './forwardToPeer.js';
import type { AttemptResult } from './AttemptResult.js';
import { forwardToServer } from './forwardToServer.js';

/** Maximum number of attempts when every server rejects the request without running it. */
const MAX_ATTEMPTS = 4;
/** Retry delay sent to callers when no server is available. */
const RETRY_AFTER_MS = 500;
/** Maximum retry delay sent to callers of an overloaded service. */
const MAX_RETRY_AFTER_MS = 2_000;
/** Retry delay for a request that crashed its servers; by then its crashes have expired. */
const QUARANTINE_RETRY_AFTER_MS = 60_000;

/** Number of servers that may run the request; the relaying host retries a relayed one. */
function maxRuns(exchange: Exchange): number {
  return exchange.relayedBy === undefined ? exchange.route.maxServers : 1;
}

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
      return progress.attempts < MAX_ATTEMPTS;
    case 'failed-run':
      progress.causes.push(`status ${result.response.status}`);
      progress.errorResponse = result.response;
      progress.runs += 1;
      return route.idempotent && progress.runs < maxRuns(exchange);
    case 'unknown':
      progress.causes.push(result.cause);
      progress.runs += 1;
      return route.idempotent && progress.runs < maxRuns(exchange);
    case 'interrupted':
      progress.causes.push(`interrupted: ${result.cause}`);
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
    if (destination.reason === 'servers-paused') {
      progress.retryAfterMs = Math.max(RETRY_AFTER_MS, destination.retryAfterMs);
    }
    if (destination.reason === 'overloaded') {
      progress.lastChoice = destination.rejected;
      progress.retryAfterMs = Math.min(
        MAX_RETRY_AFTER_MS,
        Math.max(RETRY_AFTER_MS, destination.rejected.waitMs),
      );
    }
    return undefined;
  }
  if (progress.attempts > 0 && !context.retryBudget.tryWithdraw(exchange.service.name)) {
    progress.causes.push('retry budget exhausted');
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
async function runAttempts(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  { signal, startSignal }: AttemptSignals,
): Promise<AttemptResult | undefined> {
  let result: AttemptResult | undefined;
  if (context.crashGuard.isQuarantined(exchange.fingerprint)) {
    progress.causes.push('quarantined after server crashes');
    progress.retryAfterMs = QUARANTINE_RETRY_AFTER_MS;
    return result;
  }
  do {
    const admission = await admitPromptParts(context, exchange, progress.runs > 0, startSignal);
    if (admission.kind === 'rejected') {
      progress.causes.push(admission.cause);
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
  return result;
}

const roundMs = (durationMs: number | undefined): number | undefined =>
  durationMs === undefined ? undefined : Math.round(durationMs);

/** How far a request had come when its caller left. */
function describePhase(progress: ExchangeProgress, isStarted: boolean): string {
  if (isStarted) {
    return 'response';
  }
  return progress.attempts > 0 ? 'attempt' : 'before-attempt';
}

/** Serves one request: makes attempts within its deadline and limits, then ends the exchange. */
export async function serveExchange(context: GatewayContext, exchange: Exchange): Promise<void> {
  const { clock } = context;
  const { route, responseWriter } = exchange;
  const progress: ExchangeProgress = {
    attempts: 0,
    runs: 0,
    lastEventId: exchange.metadata.lastEventId,
    errorResponse: undefined,
    triedServers: new Set(),
    triedRegions: new Set(),
    causes: [],
    retryAfterMs: RETRY_AFTER_MS,
    lastChoice: undefined,
    eventCount: 0,
    reportedWaiting: undefined,
    firstEventMs: undefined,
    lastAttemptMs: undefined,
    callerLeftMs: undefined,
  };
  const onDisconnect = (): void => {
    progress.callerLeftMs = clock.monotonicMs() - exchange.arrivedAtMs;
    const phase = describePhase(progress, responseWriter.isStarted());
    context.metrics.increment('caller_disconnects', { phase });
  };
  responseWriter.disconnected.addEventListener('abort', onDisconnect);
  const expiry = new AbortController();
  const timer = setTimeout(
    () => expiry.abort(),
    Math.max(0, exchange.deadlineAtMs - clock.monotonicMs()),
  );
  // A buffered request that is not idempotent, such as an order, goes on when its caller
  // disconnects, because a cancelled one could be left half done.
  const cancelsOnDisconnect = route.idempotent || route.delivery === 'events';
  const startSignal = AbortSignal.any([expiry.signal, responseWriter.disconnected]);
  const signal = cancelsOnDisconnect ? startSignal : expiry.signal;

  context.retryBudget.recordRequest(exchange.service.name);
  const result = await runAttempts(context, exchange, progress, { signal, startSignal });
  clearTimeout(timer);
  const isExpired = expiry.signal.aborted || clock.monotonicMs() >= exchange.deadlineAtMs;
  responseWriter.disconnected.removeEventListener('abort', onDisconnect);
  if (result?.kind === 'delivered' && progress.runs === 0) {
    context.outputLengths.recordResponse(route, progress.eventCount);
  }
  const status =
    result?.kind === 'delivered'
      ? result.status
      : sendFinalResponse(context, exchange, progress, isExpired);
  const kind = route.delivery === 'events' ? 'stream' : 'call';
  const labels = { service: exchange.service.name, kind };
  context.metrics.increment('requests', { ...labels, status: String(status) });
  if (progress.firstEventMs !== undefined) {
    context.metrics.timingMs('first_event', progress.firstEventMs, labels);
  }
  context.log.info('request', {
    requestId: exchange.metadata.attemptId,
    route: route.name,
    service: exchange.service.name,
    tableVersion: exchange.tableVersion,
    relayedBy: exchange.relayedBy,
    ...describeChoice(progress.lastChoice),
    remainingMs: Math.round(exchange.deadlineAtMs - exchange.arrivedAtMs),
    events: progress.eventCount,
    promptTokens: exchange.metadata.promptTokens,
    expectedEvents: Math.round(exchange.expectedEvents),
    reportedWaiting: progress.reportedWaiting,
    firstEventMs: roundMs(progress.firstEventMs),
    lastAttemptMs: roundMs(progress.lastAttemptMs),
    callerLeftMs: roundMs(progress.callerLeftMs),
    excessTransitMs: roundMs(exchange.excessTransitMs),
    attempts: progress.attempts,
    runs: progress.runs,
    causes: progress.causes.join(', '),
    callerLeft: responseWriter.disconnected.aborted,
    status,
    tookMs: Math.round(clock.monotonicMs() - exchange.arrivedAtMs),
  });
}
