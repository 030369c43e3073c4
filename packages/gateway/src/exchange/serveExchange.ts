import { runAfterPoll } from '@camphorbarrow/core';
import { printVersion } from '../model/printVersion.js';
import type { AttemptResult } from './AttemptResult.js';
import { describeChoice } from './describeChoice.js';
import { describeSpans } from './describeSpans.js';
import { describeStreamOutcome } from './describeStreamOutcome.js';
import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import { findStreamVersion } from './findStreamVersion.js';
import type { GatewayContext } from './GatewayContext.js';
import { runAttempts } from './runAttempts.js';
import { sendFinalResponse } from './sendFinalResponse.js';
import type { ServedRequest } from './ServedRequest.js';

/** Retry delay sent to callers when no server is available. */
const RETRY_AFTER_MS = 500;

const roundMs = (durationMs: number | undefined): number | undefined =>
  durationMs === undefined ? undefined : Math.round(durationMs);

/** How far a request had come when its caller left. */
function describePhase(progress: ExchangeProgress, isStarted: boolean): string {
  if (isStarted) {
    return 'response';
  }
  return progress.attempts > 0 ? 'attempt' : 'before-attempt';
}

/**
 * Serves one request: makes attempts within its deadline and limits, then ends the exchange. Returns
 * whether a server may have run the request.
 */
export async function serveExchange(
  context: GatewayContext,
  exchange: Exchange,
): Promise<ServedRequest> {
  const { clock } = context;
  const { route, responseWriter } = exchange;
  const progress: ExchangeProgress = {
    attempts: 0,
    hasArrived: false,
    mayHaveRun: false,
    runs: 0,
    lastEventId: exchange.metadata.lastEventId,
    hasUnconfirmedEnd: false,
    requiredVersion: undefined,
    versionClaim: undefined,
    versionSource: undefined,
    errorResponse: undefined,
    refusedConnects: 0,
    timedOutConnects: 0,
    neighbourRejections: 0,
    triedServers: new Set(),
    triedRegions: new Set(),
    rejectingHosts: new Set(),
    causes: [],
    lastFailure: undefined,
    hasGivenUpServer: false,
    stopCause: 'ended',
    overload: undefined,
    recordedSentAtMs: undefined,
    hasOverloadedPeer: false,
    waiting: undefined,
    retryAfterMs: RETRY_AFTER_MS,
    lastChoice: undefined,
    spans: [],
    eventCount: 0,
    lastEventAtMs: 0,
    longestGapMs: 0,
    reportedWaiting: undefined,
    firstEventMs: undefined,
    lastAttemptMs: undefined,
    callerLeftMs: undefined,
  };
  // A buffered request that is not idempotent, such as an order, goes on when its caller
  // disconnects, because a cancelled one could be left half done.
  const cancelsOnDisconnect = route.idempotent || route.delivery === 'events';
  const start = new AbortController();
  const end = new AbortController();
  let cancelEnd = (): void => undefined;
  /** Nothing new is sent from now on; a response that has arrived is still forwarded. */
  const endExchange = (): void => {
    start.abort();
    cancelEnd();
    cancelEnd = runAfterPoll(() => end.abort());
  };
  const endOnDisconnect = (): void => {
    start.abort();
    if (cancelsOnDisconnect) {
      end.abort();
    }
  };
  const onDisconnect = (): void => {
    progress.callerLeftMs = clock.monotonicMs() - exchange.arrivedAtMs;
    const phase = describePhase(progress, responseWriter.isStarted());
    context.metrics.increment('caller_disconnects', { phase });
    endOnDisconnect();
  };
  if (responseWriter.disconnected.aborted) {
    endOnDisconnect();
  }
  responseWriter.disconnected.addEventListener('abort', onDisconnect);
  let isExpired = false;
  const expire = (): void => {
    isExpired = true;
    endExchange();
  };
  const timer = setTimeout(expire, Math.max(0, exchange.deadlineAtMs - clock.monotonicMs()));
  context.closing.addEventListener('abort', endExchange);
  if (context.closing.aborted) {
    endExchange();
  }
  const signals = { signal: end.signal, startSignal: start.signal };

  context.retryBudget.recordRequest(exchange.service.name);
  const attemptAll = async (): Promise<AttemptResult | undefined> =>
    (await findStreamVersion(context, exchange, progress, start.signal))
      ? runAttempts(context, exchange, progress, signals)
      : undefined;
  const result = await attemptAll().finally(() => {
    clearTimeout(timer);
    cancelEnd();
    responseWriter.disconnected.removeEventListener('abort', onDisconnect);
    context.closing.removeEventListener('abort', endExchange);
  });
  isExpired ||= clock.monotonicMs() >= exchange.deadlineAtMs;
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
  if (kind === 'stream' && exchange.relayedBy === undefined) {
    const outcome = describeStreamOutcome(exchange.metadata.maxOutputTokens, progress, {
      status,
      isExpired,
      hasCallerLeft: responseWriter.disconnected.aborted,
    });
    context.metrics.increment('stream_outcomes', { service: exchange.service.name, ...outcome });
  }
  if (progress.firstEventMs !== undefined) {
    context.metrics.timingMs('first_event', progress.firstEventMs, labels);
  }
  context.log.info('request', {
    requestId: exchange.metadata.attemptId,
    resumes: exchange.metadata.resumes,
    resumesAfter: exchange.metadata.lastEventId,
    route: route.name,
    service: exchange.service.name,
    tableVersion: printVersion(exchange.tableVersion),
    customer: exchange.customer?.id,
    relayedBy: exchange.relayedBy,
    ...describeChoice(progress.lastChoice),
    requiredVersion: progress.requiredVersion,
    versionSource: progress.versionSource,
    remainingMs: Math.round(exchange.deadlineAtMs - exchange.arrivedAtMs),
    events: progress.eventCount,
    spans: describeSpans(progress.spans),
    promptTokens: exchange.metadata.promptTokens,
    maxOutputTokens: exchange.metadata.maxOutputTokens,
    expectedOutputTokens: exchange.metadata.expectedOutputTokens,
    expectedEvents: Math.round(exchange.expectedEvents),
    lastEventId: progress.lastEventId,
    reportedWaiting: progress.reportedWaiting,
    firstEventMs: roundMs(progress.firstEventMs),
    longestGapMs: roundMs(progress.longestGapMs),
    lastAttemptMs: roundMs(progress.lastAttemptMs),
    callerLeftMs: roundMs(progress.callerLeftMs),
    excessTransitMs: roundMs(exchange.excessTransitMs),
    attempts: progress.attempts,
    runs: progress.runs,
    causes: progress.causes.join(', '),
    stopCause: progress.stopCause,
    overloadCause: progress.stopCause === 'overloaded' ? progress.overload?.cause : undefined,
    retryAfterMs: status === 503 ? roundMs(progress.retryAfterMs) : undefined,
    callerLeft: responseWriter.disconnected.aborted,
    status,
    tookMs: Math.round(clock.monotonicMs() - exchange.arrivedAtMs),
  });
  return { mayHaveRun: progress.mayHaveRun };
}
