import type { Destination } from '../routing/Destination.js';
import { sendUpstream } from '../upstream/sendUpstream.js';
import type { Exchange } from './Exchange.js';
import type { GatewayContext } from './GatewayContext.js';
import { receiveResponse } from './receiveResponse.js';
import type { ReceiveResponseOptions } from './receiveResponse.js';
import { stripRelayHeaders } from './relayHeaders.js';
import { stripHopByHopHeaders } from './stripHopByHopHeaders.js';
import type { AttemptResult } from './AttemptResult.js';

/** Servers are in this region; a connection that takes longer meets a host that does not answer. */
const CONNECT_TIMEOUT_MS = 400;
/** Part of the target latency after which a silent server is left when another may be tried. */
const SILENCE_TARGET_RATIO = 0.8;
const MIN_SILENCE_MS = 300;
/** A stream whose first event takes longer than this multiple of the estimate hangs. */
const SILENCE_ESTIMATE_RATIO = 3;
/** An engine that began another answer this lately has a queue and is not silent. */
const ALIVE_MS = 1_000;
/** A resumable stream moves on after a pause of this multiple of the allowed one. */
const GAP_LIMIT_RATIO = 3;

export interface ForwardToServerOptions {
  readonly context: GatewayContext;
  readonly exchange: Exchange;
  readonly destination: Extract<Destination, { kind: 'server' }>;
  /** Whether another server may run the request when this one fails. */
  readonly mayRetry: boolean;
  readonly lastEventId: string | undefined;
  readonly signal: AbortSignal;
  /** Called when the answer has begun. */
  readonly onResponseStart: () => void;
  /** Called with the number of events that arrived together. */
  readonly onEvents: (count: number) => void;
}

function answerTimeoutMs({
  exchange,
  destination,
  mayRetry: mayMoveOn,
}: ForwardToServerOptions): number | undefined {
  const { route } = exchange;
  if (!mayMoveOn) {
    return undefined;
  }
  return route.delivery === 'whole'
    ? Math.max(MIN_SILENCE_MS, route.targetLatencyMs * SILENCE_TARGET_RATIO)
    : Math.max(route.targetLatencyMs, destination.estimateMs * SILENCE_ESTIMATE_RATIO);
}

function noteResult(
  { context, exchange, destination }: ForwardToServerOptions,
  result: AttemptResult,
  sentAtMs: number,
): void {
  const { incarnation } = destination.server;
  switch (result.kind) {
    case 'delivered':
      context.health.recordSuccess(incarnation);
      context.crashGuard.recordCompletion(exchange.fingerprint);
      break;
    case 'failed-run':
      context.health.recordFailure(incarnation);
      break;
    case 'unknown':
    case 'interrupted':
      if (result.cause === 'silent') {
        context.health.recordTimeout(incarnation, sentAtMs);
        context.serverConnections.closeIdle(incarnation);
      } else {
        context.health.recordFailure(incarnation);
        context.crashGuard.recordBrokenConnection(destination.server, exchange.fingerprint());
      }
      break;
    case 'not-run':
      if (!result.reachedServer) {
        context.health.recordUnreachable(incarnation);
        context.crashGuard.recordServerGone(destination.server);
      }
      break;
    case 'cancelled':
      break;
  }
}

async function exchangeWithServer(
  options: ForwardToServerOptions,
  sentAtMs: number,
  observer: Pick<ReceiveResponseOptions, 'onResponseStart' | 'onEvents'>,
): Promise<AttemptResult> {
  const { context, exchange, destination, signal } = options;
  const { server } = destination;
  const sent = await sendUpstream({
    agent: context.serverConnections.agentFor(server.incarnation),
    endpoint: server.registration.endpoint,
    method: exchange.method,
    path: exchange.target,
    headers: [
      ...context.codec.toServerHeaders(
        stripRelayHeaders(stripHopByHopHeaders(exchange.rawHeaders)),
        {
          server: server.registration.id,
          remainingMs: Math.max(1, Math.floor(exchange.deadlineAtMs - sentAtMs)),
          rank: destination.rank,
          fetchFrom: destination.fetch?.from,
          lastEventId: options.lastEventId,
        },
      ),
      'Content-Length',
      String(exchange.body.length),
    ],
    body: exchange.body,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    responseTimeoutMs: answerTimeoutMs(options),
    isAlive: () => {
      const { delivery } = exchange.route;
      const aliveAtMs = context.health.lastResponseStartAtMs(server.incarnation);
      return delivery === 'events' && context.clock.monotonicMs() - aliveAtMs < ALIVE_MS;
    },
    signal,
  });
  if (sent.kind === 'failed') {
    if (sent.failure === 'cancelled') {
      return { kind: 'cancelled' };
    }
    return sent.mayHaveRun
      ? { kind: 'unknown', cause: sent.failure }
      : { kind: 'not-run', cause: sent.cause, reachedServer: false };
  }
  const { response } = sent;
  context.serverConnections.updateIdleTimeout(response.socket, response.headers['keep-alive']);
  const facts = context.codec.readResponse(response.headers);
  if (facts.load !== undefined) {
    context.loads.recordReport(server.registration.id, facts.load);
  }
  return receiveResponse({
    exchange,
    response,
    metadata: facts,
    signal,
    ...observer,
    maxEventGapMs: options.mayRetry ? exchange.route.targetGapMs * GAP_LIMIT_RATIO : undefined,
  });
}

/** Sends the request to a server of this region and forwards its answer. */
export async function forwardToServer(options: ForwardToServerOptions): Promise<AttemptResult> {
  const { context, exchange, destination } = options;
  const { server, rank, uncachedTokens, tokensAhead } = destination;
  const sentAtMs = context.clock.monotonicMs();
  const ticket = context.loads.trackRequest(server.registration.id, {
    rank,
    promptTokens: uncachedTokens,
  });
  const capacityTokens = exchange.service.kvCapacityTokens;
  context.coldServerLimiter.recordSend(server);
  if (capacityTokens !== undefined) {
    context.prefixes.recordPrompt(
      server.incarnation,
      exchange.metadata.promptParts,
      capacityTokens,
    );
  }
  const onBegun = (): void => {
    ticket.responseStarted();
    context.health.recordResponseStart(server.incarnation);
    options.onResponseStart();
    if (capacityTokens !== undefined) {
      const elapsedMs = context.clock.monotonicMs() - sentAtMs;
      context.speeds.recordFirstEvent(server.incarnation, tokensAhead + uncachedTokens, elapsedMs);
    }
  };
  let lastEventAtMs: number | undefined;
  const onEvents = (count: number): void => {
    options.onEvents(count);
    const nowMs = context.clock.monotonicMs();
    if (lastEventAtMs !== undefined && count > 0) {
      context.paces.recordEventGap(server.registration.id, (nowMs - lastEventAtMs) / count);
    }
    lastEventAtMs = nowMs;
  };
  const result = await exchangeWithServer(options, sentAtMs, {
    onResponseStart: onBegun,
    onEvents,
  });
  ticket.ended();
  noteResult(options, result, sentAtMs);
  if (result.kind === 'delivered' && capacityTokens === undefined) {
    context.speeds.recordCall(server.incarnation, context.clock.monotonicMs() - sentAtMs);
  }
  return result;
}
