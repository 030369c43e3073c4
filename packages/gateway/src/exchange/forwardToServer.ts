import type { RequestEnd } from '../limits/createConcurrencyShares.js';
import type { Destination } from '../routing/Destination.js';
import { sendUpstream } from '../upstream/sendUpstream.js';
import type { Exchange } from './Exchange.js';
import type { GatewayContext } from './GatewayContext.js';
import { belongsTo, comesFrom, framingOf, receiveResponse } from './receiveResponse.js';
import type { ReceiveResponseOptions } from './receiveResponse.js';
import { recordServerResult } from './recordServerResult.js';
import { recordServerNotices } from './recordServerNotices.js';
import { stripRelayHeaders } from './relayHeaders.js';
import { stripHopByHopHeaders } from './stripHopByHopHeaders.js';
import type { AttemptResult } from './AttemptResult.js';
import type { AttemptSignals } from './AttemptSignals.js';
import type { StreamSpan } from './StreamSpan.js';

/** Servers are in the same region; a connection that takes longer goes to an unresponsive host. */
const CONNECT_TIMEOUT_MS = 400;
/** Share of the target latency after which a buffered response times out if a retry is allowed. */
const RESPONSE_TIMEOUT_TARGET_RATIO = 0.8;
const MIN_RESPONSE_TIMEOUT_MS = 300;
/** A stream times out when its response takes longer than this multiple of the estimate. */
const RESPONSE_TIMEOUT_ESTIMATE_RATIO = 3;
/** An engine that started another response within this time has a queue and is not unresponsive. */
const ALIVE_WINDOW_MS = 1_000;
/** A resumable stream may move to another server after a pause of this multiple of the target gap. */
const MAX_EVENT_GAP_RATIO = 3;
/** Sound servers fall silent for about a second; moving their streams would only repeat work. */
const MIN_EVENT_GAP_MS = 1_500;

/** Interval at which a server is probed while responses are late. */
const SILENT_PROBE_MAX_AGE_MS = 500;

export interface ForwardToServerOptions extends AttemptSignals {
  readonly context: GatewayContext;
  readonly exchange: Exchange;
  readonly destination: Extract<Destination, { kind: 'server' }>;
  /**
   * Called when the server has been silent for long. Reserves the next attempt; while it returns
   * false, none is possible and the server is waited for. Undefined if no other server may run the
   * request.
   */
  readonly reserveNext: (() => boolean) | undefined;
  readonly lastEventId: string | undefined;
  /** Called on the first event of a stream, or on the head of any other response. */
  readonly onResponseStart: () => void;
  /** Called for each chunk that completes events, with their number. */
  readonly onEvents: (count: number) => void;
  readonly admitStream: ReceiveResponseOptions['admitStream'];
  /** Whether the events that were forwarded before may be the whole stream. */
  readonly mayBeEmpty: boolean;
  readonly onSpan: (span: StreamSpan) => void;
}

/** Time after which the server is probed, and another attempt is made if one is allowed. */
function responseTimeoutMs({ exchange, destination }: ForwardToServerOptions): number {
  const { route } = exchange;
  return route.delivery === 'whole'
    ? Math.max(MIN_RESPONSE_TIMEOUT_MS, route.targetLatencyMs * RESPONSE_TIMEOUT_TARGET_RATIO)
    : Math.max(route.targetLatencyMs, destination.estimateMs * RESPONSE_TIMEOUT_ESTIMATE_RATIO);
}

/** How a request ended at the server; undefined if it was never sent. */
function requestEnd(result: AttemptResult): RequestEnd | undefined {
  switch (result.kind) {
    case 'delivered':
    case 'failed-run':
      return 'served';
    case 'not-run':
      return result.hasArrived ? 'rejected' : 'unserved';
    case 'cancelled':
      return result.wasUnsent === true ? undefined : 'unserved';
    default:
      return 'unserved';
  }
}

async function sendAndReceive(
  options: ForwardToServerOptions,
  sentAtMs: number,
  callbacks: Pick<ReceiveResponseOptions, 'onResponseStart' | 'onEvents'>,
): Promise<AttemptResult> {
  const { context, exchange, destination, signal, reserveNext } = options;
  const { server } = destination;
  const keepWaiting = (): boolean => {
    // While no other attempt is possible, the silence ends nothing that would show the reason.
    context.serverLinks.check(server, SILENT_PROBE_MAX_AGE_MS).catch(() => undefined);
    return reserveNext?.() !== true;
  };
  const hasQueue = (): boolean => {
    const lastStartAtMs = context.health.lastResponseStartAtMs(server.incarnation);
    return (
      exchange.route.delivery === 'events' &&
      context.clock.monotonicMs() - lastStartAtMs < ALIVE_WINDOW_MS
    );
  };
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
          caller: exchange.caller,
        },
      ),
      'Content-Length',
      String(exchange.body.length),
    ],
    body: exchange.body,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    onConnection(socket) {
      context.serverClaims.recordConnection(server, socket);
      if (exchange.route.resumable) {
        context.serverClaims.verifyConnection(server, socket);
      }
    },
    responseTimeoutMs: responseTimeoutMs(options),
    keepWaiting: () => hasQueue() || keepWaiting(),
    signal,
    startSignal: options.startSignal,
    beforeWrite: () => context.dispatchQueue.wait(options.startSignal),
  });
  if (sent.kind === 'failed') {
    if (sent.failure === 'cancelled') {
      return { kind: 'cancelled', wasUnsent: !sent.mayHaveRun };
    }
    return sent.mayHaveRun
      ? { kind: 'unknown', cause: sent.failure }
      : // A request that cannot be built says nothing about the server.
        {
          kind: 'not-run',
          cause: sent.cause,
          reachedServer: sent.failure === 'invalid',
          isRefused: sent.isRefused,
          hasArrived: false,
        };
  }
  const { response } = sent;
  // A response that has ended is detached from its socket.
  const { socket } = response;
  context.serverLinks.recordResponse(server);
  context.serverConnections.updateIdleTimeout(socket, response.headers['keep-alive']);
  const metadata = context.codec.readResponse(response.headers);
  if (metadata.load !== undefined) {
    context.loads.recordReport(server.registration.id, metadata.load);
  }
  if (comesFrom(server.registration.id, exchange, metadata)) {
    recordServerNotices(context, server, { status: response.statusCode ?? 0, metadata });
  }
  if (belongsTo(exchange, metadata)) {
    context.serverLimits.recordResponse(server, metadata.requestsPerSecond);
  }
  if (exchange.route.delivery === 'events' && framingOf(response) === 'connection-end') {
    // At its end, a process that started before its entry tells has to be known.
    context.serverClaims.verifyConnection(server, socket);
  }
  return receiveResponse({
    exchange,
    response,
    metadata,
    expectedServer: server.registration.id,
    lastEventId: options.lastEventId,
    responseVersion: () => context.serverClaims.versionOn(server, socket),
    nowMs: context.clock.monotonicMs,
    confirmEnd: () => context.endChecks.confirmEnd(server, socket),
    mayBeEmpty: options.mayBeEmpty,
    admitStream: options.admitStream,
    onSpan: (span) =>
      options.onSpan({
        from: server.registration.id,
        startedAtMs: server.registration.startedAtMs,
        ...span,
      }),
    signal,
    ...callbacks,
    maxEventGapMs:
      reserveNext === undefined
        ? undefined
        : Math.max(MIN_EVENT_GAP_MS, exchange.route.targetGapMs * MAX_EVENT_GAP_RATIO),
    keepWaiting,
  });
}

/** Sends the request to a server of this region and forwards the response. */
export async function forwardToServer(options: ForwardToServerOptions): Promise<AttemptResult> {
  const { context, exchange, destination } = options;
  const { server, rank, uncachedTokens, tokensAhead } = destination;
  const sentAtMs = context.clock.monotonicMs();
  const wasSuspect = context.crashGuard.isSuspect(exchange.fingerprint);
  const trialParts = context.partSuspicion.hasSuspects()
    ? context.partSuspicion.suspectsAmong(exchange.sharedPartKeys())
    : [];
  /** Time since the request was sent, without the slowdown that the server reported. */
  const usualDurationMs = (): number =>
    (context.clock.monotonicMs() - sentAtMs) / context.loads.slowdownRatio(server.registration.id);
  const capacityTokens = exchange.service.kvCapacityTokens;
  const onResponseStart = (): void => {
    context.health.recordResponseStart(server.incarnation);
    options.onResponseStart();
    if (capacityTokens !== undefined && !context.serverLinks.wasCutOffSince(sentAtMs)) {
      const elapsedMs = usualDurationMs();
      context.speeds.recordFirstEvent(server.incarnation, tokensAhead + uncachedTokens, elapsedMs);
    }
  };
  let lastEventAtMs: number | undefined;
  const onEvents = (count: number): void => {
    options.onEvents(count);
    const nowMs = context.clock.monotonicMs();
    if (
      lastEventAtMs !== undefined &&
      count > 0 &&
      !context.serverLinks.wasCutOffSince(lastEventAtMs)
    ) {
      context.paces.recordEventGap(server.registration.id, (nowMs - lastEventAtMs) / count);
    }
    lastEventAtMs = nowMs;
  };
  context.unseenSends.recordSend(exchange.service.name);
  const result = await context.loads.trackWhile(
    server.registration.id,
    { rank, promptTokens: uncachedTokens },
    async ({ responseStarted }) => {
      if (capacityTokens !== undefined) {
        context.prefixes.recordPrompt(
          server.incarnation,
          exchange.metadata.promptParts,
          capacityTokens,
        );
      }
      const received = await sendAndReceive(options, sentAtMs, {
        onResponseStart() {
          responseStarted();
          onResponseStart();
        },
        onEvents,
      });
      const end = requestEnd(received);
      if (end !== undefined) {
        context.concurrencyShares.recordEnd(server, end);
      }
      return received;
    },
  );
  await recordServerResult(options, result, { sentAtMs, wasSuspect, trialParts });
  if (
    result.kind === 'delivered' &&
    capacityTokens === undefined &&
    !context.serverLinks.wasCutOffSince(sentAtMs)
  ) {
    context.speeds.recordCall(server.incarnation, usualDurationMs());
  }
  return result;
}
