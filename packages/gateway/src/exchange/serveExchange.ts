import {
  BackendFailedError,
  DeadlineExceededError,
  NoServerError,
  type RequestError,
} from '@camphorbarrow/core';
import type { Destination } from '../routing/Destination.js';
import { describeChoice } from './describeChoice.js';
import type { Exchange } from './Exchange.js';
import type { GatewayContext } from './GatewayContext.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import { sendErrorResponse } from './sendErrorResponse.js';
import { toRoutingRequest } from './toRoutingRequest.js';
import { forwardToPeer } from './forwardToPeer.js';
import type { AttemptResult } from './AttemptResult.js';
import { forwardToServer } from './forwardToServer.js';

/** Servers that may be offered a request as long as each of them refuses it unrun. */
const MAX_OFFERS = 4;
/** When to come back after a refusal for want of a server. */
const RETRY_AFTER_MS = 500;
/** Longest time for which callers are asked to stay away. */
const MAX_RETRY_AFTER_MS = 2_000;

/** When a request that crashed its servers may come back: after its crashes are forgotten. */
const BLAMED_RETRY_AFTER_MS = 60_000;

/** Servers that may run the request; a host that serves for another leaves retries to it. */
function maxRuns(exchange: Exchange): number {
  return exchange.relayedBy === undefined ? exchange.route.maxServers : 1;
}

/** Takes a result into account. Returns whether another server may be tried. */
function mayGoOn(exchange: Exchange, progress: ExchangeProgress, result: AttemptResult): boolean {
  const { route } = exchange;
  switch (result.kind) {
    case 'delivered':
    case 'cancelled':
      return false;
    case 'not-run':
      progress.causes.push(result.cause);
      return progress.attempts < MAX_OFFERS;
    case 'failed-run':
      progress.causes.push(`status ${result.answer.status}`);
      progress.errorResponse = result.answer;
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

async function tryDestination(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  destination: Exclude<Destination, { kind: 'none' }>,
  signal: AbortSignal,
): Promise<AttemptResult> {
  const { lastEventId } = progress;
  const onBegun = (): void => {
    progress.firstEventMs ??= context.clock.monotonicMs() - exchange.arrivedAtMs;
  };
  const onEvents = (count: number): void => {
    progress.eventCount += count;
  };
  progress.lastChoice = destination;
  if (destination.kind === 'region') {
    const { host } = destination.peer.heartbeat;
    const result = await forwardToPeer({
      context,
      exchange,
      destination,
      lastEventId,
      signal,
      onResponseStart: onBegun,
      onEvents,
    });
    // A refusal speaks for the region; after a server of it broke, another one may do.
    if (result.kind === 'not-run') {
      progress.triedRegions.add(host.region);
    }
    return result;
  }
  const { id } = destination.server.registration;
  progress.reportedWaiting = context.loads.reportedWaiting(id);
  progress.triedServers.add(id);
  const mayMoveOn = exchange.route.idempotent && progress.runs + 1 < maxRuns(exchange);
  return forwardToServer({
    context,
    exchange,
    destination,
    mayRetry: mayMoveOn,
    lastEventId,
    signal,
    onResponseStart: onBegun,
    onEvents,
  });
}

async function runTries(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  signal: AbortSignal,
): Promise<AttemptResult | undefined> {
  let result: AttemptResult | undefined;
  if (context.crashGuard.isQuarantined(exchange.fingerprint)) {
    progress.causes.push('crashed its servers');
    progress.retryAfterMs = BLAMED_RETRY_AFTER_MS;
    return result;
  }
  do {
    const remainingMs = exchange.deadlineAtMs - context.clock.monotonicMs();
    const destination = context.router.choose(toRoutingRequest(exchange, progress, remainingMs));
    if (destination.kind === 'none') {
      progress.causes.push(destination.reason);
      if (destination.reason === 'overloaded') {
        progress.lastChoice = destination.refused;
        progress.retryAfterMs = Math.min(
          MAX_RETRY_AFTER_MS,
          Math.max(RETRY_AFTER_MS, destination.refused.waitMs),
        );
      }
      return result;
    }
    if (progress.attempts > 0 && !context.retryBudget.tryWithdraw(exchange.service.name)) {
      progress.causes.push('repeat allowance used up');
      return result;
    }
    progress.attempts += 1;
    result = await tryDestination(context, exchange, progress, destination, signal);
  } while (mayGoOn(exchange, progress, result) && !signal.aborted);
  return result;
}

function finalError(progress: ExchangeProgress, expired: boolean): RequestError {
  const cause = progress.causes.join(', ');
  if (progress.runs > 0) {
    return expired
      ? new DeadlineExceededError(`No answer in time: ${cause}.`)
      : new BackendFailedError(`The request may have run: ${cause}.`);
  }
  if (expired) {
    return new DeadlineExceededError('No answer in time.');
  }
  return new NoServerError(`No server took the request: ${cause}.`, {
    props: { retryAfterMs: progress.retryAfterMs },
  });
}

function finish(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  expired: boolean,
): number {
  const { responseWriter: sink } = exchange;
  if (sink.disconnected.aborted) {
    return 0;
  }
  if (sink.isStarted()) {
    sink.abort();
    return 0;
  }
  if (progress.errorResponse !== undefined) {
    const { status, headers, body } = progress.errorResponse;
    sink.send(status, headers, body);
    return status;
  }
  const error = finalError(progress, expired);
  sendErrorResponse(sink, context.codec, error, exchange.relayedBy !== undefined);
  return error.statusCode;
}

/** Serves one request: tries servers within its time and its limits, and answers in any case. */
export async function serveExchange(context: GatewayContext, exchange: Exchange): Promise<void> {
  const { clock } = context;
  const { route, responseWriter: sink } = exchange;
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
  };
  const expiry = new AbortController();
  const timer = setTimeout(
    () => expiry.abort(),
    Math.max(0, exchange.deadlineAtMs - clock.monotonicMs()),
  );
  // An order that a server has begun goes on without its caller: cut, it would be half done.
  const stopsWithCaller = route.idempotent || route.delivery === 'events';
  const signal = stopsWithCaller
    ? AbortSignal.any([expiry.signal, sink.disconnected])
    : expiry.signal;

  context.retryBudget.recordRequest(exchange.service.name);
  const result = await runTries(context, exchange, progress, signal);
  clearTimeout(timer);
  if (result?.kind === 'delivered' && progress.runs === 0) {
    context.outputLengths.recordResponse(route, progress.eventCount);
  }
  const status =
    result?.kind === 'delivered'
      ? result.status
      : finish(context, exchange, progress, expiry.signal.aborted);
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
    beganMs: progress.firstEventMs === undefined ? undefined : Math.round(progress.firstEventMs),
    offers: progress.attempts,
    runs: progress.runs,
    causes: progress.causes.join(', '),
    callerLeft: sink.disconnected.aborted,
    status,
    tookMs: Math.round(clock.monotonicMs() - exchange.arrivedAtMs),
  });
}
