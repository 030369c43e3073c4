import type { IncomingMessage } from 'node:http';
import { asId } from '@camphorbarrow/core';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { Destination } from '../routing/Destination.js';
import { relayLoadId } from '../routing/relayLoadId.js';
import { formatEndpoint } from '../upstream/createConnectionPools.js';
import { discardBody } from '../upstream/discardBody.js';
import { sendUpstream } from '../upstream/sendUpstream.js';
import type { Exchange } from './Exchange.js';
import type { GatewayContext } from './GatewayContext.js';
import { receiveResponse } from './receiveResponse.js';
import type { ReceiveResponseOptions } from './receiveResponse.js';
import { NOT_ARRIVED, relayHeaders, stripRelayHeaders } from './relayHeaders.js';
import { formatSendTime } from './sendTimeHeader.js';
import { stripHopByHopHeaders } from './stripHopByHopHeaders.js';
import { formatVersion, parseResponseVersion } from './versionHeader.js';
import type { AttemptResult } from './AttemptResult.js';
import type { AttemptSignals } from './AttemptSignals.js';
import type { StreamSpan } from './StreamSpan.js';

/** Added to the round-trip time to get the connect timeout for a peer. */
const CONNECT_MARGIN_MS = 500;
const DEFAULT_ROUND_TRIP_MS = 200;
/** Causes by error code of rejections that say nothing about the other hosts of the region. */
const hostCauses: ReadonlyMap<unknown, string> = new Map([
  ['draining', 'peer is draining'],
  ['connection-limit', 'peer has too many connections'],
  ['request-memory', 'peer has no memory for requests'],
  ['older-configuration', 'peer has an older configuration'],
  ['servers-unreachable', 'peer reaches no server'],
]);

/**
 * The same, of a neighbour only: hosts of other regions keep limited servers for their own callers, and
 * serve relayed requests however busy they are.
 */
const neighbourCauses: ReadonlyMap<unknown, string> = new Map([
  ...hostCauses,
  ['rate-limited', 'peer has used its part of the rates'],
  ['rejection-limited', 'peer has used its part of the places'],
  ['host-overloaded', 'peer is short of processor time'],
]);

export interface ForwardToPeerOptions extends AttemptSignals {
  readonly context: GatewayContext;
  readonly exchange: Exchange;
  readonly destination: Extract<Destination, { kind: 'region' }>;
  readonly lastEventId: string | undefined;
  /** Whether the events that were forwarded before may be the whole stream. */
  readonly mayBeEmpty: boolean;
  /** Called on the first event of a stream, or on the head of any other response. */
  readonly onResponseStart: () => void;
  /** Called for each chunk that completes events, with their number. */
  readonly onEvents: (count: number) => void;
  /** Version of the servers that may take the request; undefined for any. */
  readonly requiredVersion: SoftwareVersion | undefined;
  readonly admitStream: ReceiveResponseOptions['admitStream'];
  readonly onSpan: (span: StreamSpan) => void;
}

/** A notice of leaving binds each host that passes it on, also one that can't reach the server now. */
function recordLeavingServer(
  { context, destination }: ForwardToPeerOptions,
  { headers, statusCode = 0 }: IncomingMessage,
): void {
  const id = headers[relayHeaders.leavingServer];
  const server =
    typeof id === 'string' && destination.isOwnRegion ? context.findServer(asId(id)) : undefined;
  if (server !== undefined) {
    context.leavingServers.recordResponse(server, statusCode);
  }
}

async function receiveFromPeer(
  options: ForwardToPeerOptions,
  sent: Awaited<ReturnType<typeof sendUpstream>>,
  onResponseStart: () => void,
): Promise<AttemptResult> {
  const { context, exchange, signal } = options;
  if (sent.kind === 'failed') {
    if (sent.failure === 'cancelled') {
      return { kind: 'cancelled', wasUnsent: !sent.mayHaveRun };
    }
    return sent.mayHaveRun
      ? { kind: 'unknown', cause: `peer ${sent.failure}` }
      : {
          kind: 'not-run',
          cause: `peer ${sent.cause}`,
          reachedServer: false,
          hasArrived: false,
          // The other hosts of this region are on the same network.
          concernsHostOnly: sent.isRefused === true || options.destination.isOwnRegion,
        };
  }
  const { response } = sent;
  const outcome = response.headers[relayHeaders.outcome];
  if (outcome !== undefined) {
    discardBody(response);
    if (outcome !== 'not-run') {
      return { kind: 'unknown', cause: 'outcome unknown at peer' };
    }
    const causes = options.destination.isOwnRegion ? neighbourCauses : hostCauses;
    const hostCause = causes.get(response.headers[relayHeaders.errorCode]);
    return {
      kind: 'not-run',
      cause: hostCause ?? 'rejected by peer',
      reachedServer: false,
      hasArrived: response.headers[relayHeaders.arrived] !== NOT_ARRIVED,
      concernsHostOnly: hostCause !== undefined,
      isOverload: response.headers[relayHeaders.overloaded] !== undefined,
      retryAfterMs:
        options.destination.isOwnRegion && hostCause === undefined
          ? context.codec.readResponse(response.headers).retryAfterMs
          : undefined,
    };
  }
  recordLeavingServer(options, response);
  return receiveResponse({
    exchange,
    response,
    metadata: context.codec.readResponse(response.headers),
    expectedServer: undefined,
    lastEventId: options.lastEventId,
    responseVersion: () =>
      parseResponseVersion(
        response.headers[relayHeaders.serverVersion],
        context.clock.monotonicMs(),
      ),
    nowMs: context.clock.monotonicMs,
    mayBeEmpty: options.mayBeEmpty,
    admitStream: options.admitStream,
    onSpan: (span) =>
      options.onSpan({
        from: options.destination.peer.heartbeat.host.id,
        startedAtMs: undefined,
        ...span,
      }),
    signal,
    onResponseStart,
    onEvents: options.onEvents,
    maxEventGapMs: undefined,
  });
}

/** Relays the request to another entry host, which serves it in its region or rejects it. */
export async function forwardToPeer(options: ForwardToPeerOptions): Promise<AttemptResult> {
  const { context, exchange, destination, signal, requiredVersion } = options;
  const { peer } = destination;
  const { host } = peer.heartbeat;
  const remainingMs = Math.floor(exchange.deadlineAtMs - context.clock.monotonicMs());
  const work = { rank: exchange.route.rank, promptTokens: exchange.metadata.promptTokens };
  const relayAndLengthHeaders = [
    relayHeaders.relayedBy,
    context.ownId,
    relayHeaders.service,
    exchange.service.name,
    relayHeaders.tableVersion,
    String(exchange.tableVersion),
    relayHeaders.sentAt,
    formatSendTime({
      incarnation: context.ownIncarnation,
      sentAtMs: context.clock.monotonicMs(),
    }),
    ...(exchange.customer === undefined ? [] : [relayHeaders.customer, exchange.customer.id]),
    ...(exchange.route.resumable ? [relayHeaders.recordsStreams, 'yes'] : []),
    ...(requiredVersion === undefined
      ? []
      : [relayHeaders.requiredVersion, formatVersion(requiredVersion)]),
    'Content-Length',
    String(exchange.body.length),
  ];
  const headers = stripRelayHeaders(stripHopByHopHeaders(exchange.rawHeaders));
  return context.loads.trackWhile(relayLoadId(peer), work, async ({ responseStarted }) => {
    const sent = await sendUpstream({
      agent: context.peerConnections.agentFor(formatEndpoint(host.peers)),
      endpoint: host.peers,
      method: exchange.method,
      path: exchange.target,
      headers: [
        ...context.codec.toPeerHeaders(headers, {
          remainingMs: Math.max(1, remainingMs),
          lastEventId: options.lastEventId,
          // The peer takes the customer from the relay header.
          caller: exchange.caller && { customer: undefined },
        }),
        ...relayAndLengthHeaders,
      ],
      body: exchange.body,
      connectTimeoutMs: (peer.roundTripMs ?? DEFAULT_ROUND_TRIP_MS) + CONNECT_MARGIN_MS,
      responseTimeoutMs: undefined,
      signal,
      startSignal: options.startSignal,
      beforeWrite: () => context.dispatchQueue.wait(options.startSignal),
    });
    return receiveFromPeer(options, sent, () => {
      responseStarted();
      options.onResponseStart();
    });
  });
}
