import type { IncomingMessage, ServerResponse } from 'node:http';
import { RequestError, asId, createBodyScope } from '@camphorbarrow/core';
import type { BodyBuffers } from '@camphorbarrow/core';
import { withAllowance } from '../allowances/withAllowance.js';
import { createDrainingError } from '../errors/createDrainingError.js';
import { createResponseWriter } from '../exchange/createResponseWriter.js';
import type { Exchange } from '../exchange/Exchange.js';
import type { GatewayContext } from '../exchange/GatewayContext.js';
import { relayHeaders } from '../exchange/relayHeaders.js';
import { sendErrorResponse } from '../exchange/sendErrorResponse.js';
import { parseSendTime } from '../exchange/sendTimeHeader.js';
import { serveExchange } from '../exchange/serveExchange.js';
import { parseVersion } from '../exchange/versionHeader.js';
import type { FleetView } from '../fleet/createFleetView.js';
import type { Customer } from '../model/Customer.js';
import { printVersion } from '../model/printVersion.js';
import type { Route } from '../model/Route.js';
import type { RoutingTable } from '../model/RoutingTable.js';
import type { ServiceName } from '../model/ServiceName.js';
import { pickTarget } from '../routing/pickTarget.js';
import { createConnectionDrain } from './createConnectionDrain.js';
import type { ConnectionLimit } from './createConnectionLimit.js';
import type { ConnectionMemory } from './createConnectionMemory.js';
import { createFingerprint } from './createFingerprint.js';
import { createSharedPartKeys } from './createSharedPartKeys.js';
import { discardRequestBody } from './discardRequestBody.js';
import { findStreamService } from './findStreamService.js';
import { firstHeaderValue } from './firstHeaderValue.js';
import { identifyCustomer, readRelayedCustomer } from './identifyCustomer.js';
import {
  createConnectionLimitError,
  createHostOverloadedError,
  createRequestMemoryError,
} from './hostRejections.js';
import { readBody } from './readBody.js';
import { readRelayedService } from './readRelayedService.js';
import {
  requireHeadWithinLimit,
  requireRoute,
  requireServableRoute,
  requireService,
  requireTable,
} from './requestChecks.js';
import { waitForResponseEnd } from './waitForResponseEnd.js';

/** Retry delays sent to callers while the host is short of processor time; they may ask another one. */
const MIN_OVERLOAD_RETRY_MS = 200;
const OVERLOAD_RETRY_SPREAD_MS = 600;
/** Limits on the rest of a rejected body while the host has no configuration. */
const NO_CONFIGURATION_LIMITS = { maxBodyBytes: 16_777_216, idleTimeoutMs: 5_000 };

export interface RequestHandlerOptions {
  readonly context: GatewayContext;
  readonly view: FleetView;
  readonly connectionLimit: ConnectionLimit;
  readonly connectionMemory: ConnectionMemory;
  /** Whether connections are closed after their next response. */
  readonly isDraining: () => boolean;
  /** Whether a request with this deadline on the monotonic clock is served. */
  readonly acceptsRequest: (deadlineAtMs: number) => boolean;
  /** Whether the host has the processor time for a new request of this rank. */
  readonly admitsRank: (rank: number) => boolean;
  /** Whether a host with this id is of this region. */
  readonly isNeighbour: (hostId: string) => boolean;
  /** `callers`, or `peers` for requests that another entry host relays. */
  readonly source: 'callers' | 'peers';
}

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Creates the request handler of a listener, which sends a response to every request. */
export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
  const { context, view, connectionLimit, connectionMemory } = options;
  const isRelayed = options.source === 'peers';
  const connections = createConnectionDrain(
    (socket) => options.isDraining() || connectionLimit.isExceededBy(socket),
  );

  function findCustomer(
    { customers }: RoutingTable,
    route: Route,
    request: IncomingMessage,
  ): Customer | undefined {
    if (isRelayed) {
      return readRelayedCustomer(customers, request);
    }
    return customers && identifyCustomer(customers, route, request, context.codec);
  }

  function readExcessTransitMs(request: IncomingMessage, relayedBy: string): number | undefined {
    const sendTime = parseSendTime(firstHeaderValue(request, relayHeaders.sentAt));
    return sendTime === undefined
      ? undefined
      : context.transits.excessTransitMs(asId(relayedBy), sendTime);
  }

  /**
   * Rejects requests that may not end before the process does. The caller can retry at another host
   * immediately.
   */
  function requireAccepting(deadlineAtMs: number): void {
    if (!options.acceptsRequest(deadlineAtMs)) {
      throw createDrainingError();
    }
  }

  function requireWithinConnectionLimit({ socket }: IncomingMessage): void {
    if (connectionLimit.isExceededBy(socket)) {
      throw createConnectionLimitError();
    }
  }

  function requireWithinMemory(request: IncomingMessage): void {
    if (connectionMemory.isExceededBy(request)) {
      throw createRequestMemoryError();
    }
  }

  const isFromNeighbour = (request: IncomingMessage): boolean =>
    isRelayed && options.isNeighbour(firstHeaderValue(request, relayHeaders.relayedBy) ?? '');

  /**
   * Rejects a request that would only make all others late. One of another region has come a long way;
   * one that a neighbour could not send to its servers is like a request of this host's callers.
   */
  function requireProcessorTime({ rank }: Route, request: IncomingMessage): void {
    if ((!isRelayed || isFromNeighbour(request)) && !options.admitsRank(rank)) {
      throw createHostOverloadedError({
        retryAfterMs: MIN_OVERLOAD_RETRY_MS + context.random.next() * OVERLOAD_RETRY_SPREAD_MS,
      });
    }
  }

  async function createExchange(
    request: IncomingMessage,
    responseWriter: Exchange['responseWriter'],
    bodies: BodyBuffers,
    arrivedAtMs: number,
  ): Promise<Exchange> {
    requireAccepting(arrivedAtMs);
    requireWithinConnectionLimit(request);
    requireWithinMemory(request);
    const table = requireTable(view);
    requireHeadWithinLimit(table, request);
    const configuredRoute = requireRoute(table, request);
    const customer = findCustomer(table, configuredRoute, request);
    const route = requireServableRoute(configuredRoute, customer);
    requireProcessorTime(route, request);
    const pickService = (): ServiceName | undefined => pickTarget(route, context.random);
    const metadata = context.codec.readRequest(request.headers);
    const service = isRelayed
      ? readRelayedService(table, route, request, pickService)
      : requireService(
          table,
          route,
          (await findStreamService(context, route, metadata)) ?? pickService(),
        );
    const relayedBy = isRelayed
      ? (firstHeaderValue(request, relayHeaders.relayedBy) ?? '')
      : undefined;
    // The host that took a relayed request has applied the time-out of its own configuration, which
    // may be another version.
    const timeoutMs =
      relayedBy === undefined
        ? Math.min(route.timeoutMs, metadata.deadlineMs ?? route.timeoutMs)
        : (metadata.deadlineMs ?? route.timeoutMs);
    requireAccepting(arrivedAtMs + timeoutMs);
    const isLate =
      relayedBy === undefined &&
      context.controlsOverload() &&
      context.lateReturns.isLate(route, timeoutMs);
    const body = await readBody(request, {
      bodies,
      clock: context.clock,
      limits: table.limits,
      deadlineAtMs: arrivedAtMs + timeoutMs,
      closing: context.closing,
    });
    const method = request.method ?? 'GET';
    const target = request.url ?? '/';
    const excessTransitMs =
      relayedBy === undefined ? undefined : readExcessTransitMs(request, relayedBy);
    // The remaining time of a relayed request counts from when it was sent.
    const timeoutStartMs =
      excessTransitMs === undefined ? arrivedAtMs : context.clock.monotonicMs() - excessTransitMs;
    const deadlineAtMs = timeoutStartMs + timeoutMs;
    // A drain may have begun while the body arrived.
    requireAccepting(deadlineAtMs);
    return {
      method,
      target,
      rawHeaders: request.rawHeaders,
      body,
      bodies,
      fingerprint: createFingerprint(method, target, body),
      sharedPartKeys: createSharedPartKeys(metadata.promptParts),
      metadata,
      expectedEvents: context.outputLengths.expectedEvents({ route, service, metadata }),
      typicalEvents: context.outputLengths.typicalEvents({ route, service, metadata }),
      customer,
      caller:
        table.customers === undefined && customer === undefined
          ? undefined
          : { customer: customer?.id },
      route,
      service,
      tableVersion: table.version,
      isLate,
      arrivedAtMs,
      deadlineAtMs,
      relayedBy,
      isFromNeighbour: isFromNeighbour(request),
      requiredVersion: isRelayed
        ? parseVersion(firstHeaderValue(request, relayHeaders.requiredVersion))
        : undefined,
      isRecordedByRelay:
        isRelayed && firstHeaderValue(request, relayHeaders.recordsStreams) !== undefined,
      excessTransitMs,
      responseWriter,
    };
  }

  async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = context.clock.monotonicMs();
    if (!connections.recordRequest(request)) {
      // It must not run. The connection closes when the response before it has been sent.
      context.log.info('request-not-read', { reason: 'connection-closes' });
      request.resume();
      return;
    }
    const responseWriter = createResponseWriter(
      response,
      () => connections.closesAfter(request),
      () =>
        request.complete
          ? undefined
          : discardRequestBody(request, view.table()?.limits ?? NO_CONFIGURATION_LIMITS),
    );
    const bodies = createBodyScope(context.requestBodies);
    const responseEnd = waitForResponseEnd(request, response);
    try {
      const exchange = await createExchange(request, responseWriter, bodies, arrivedAtMs);
      await withAllowance(context, exchange, () => {
        // A drain may have begun while the request waited for its allowance.
        requireAccepting(exchange.deadlineAtMs);
        return serveExchange(context, exchange);
      });
    } catch (error) {
      const requestError =
        error instanceof RequestError
          ? error
          : new RequestError('Internal error in the gateway.', { cause: error });
      const fields = {
        requestId: context.codec.readRequest(request.headers).attemptId,
        code: requestError.code,
        status: requestError.statusCode,
        tableVersion: printVersion(view.table()?.version),
        ...requestError.details,
        retryAfterMs: requestError.retryAfterMs,
        callerLeft: responseWriter.disconnected.aborted,
      };
      context.metrics.increment('refusals', { code: requestError.code });
      if (error instanceof RequestError) {
        context.log.info('request-refused', fields);
      } else {
        context.log.error('request-failed', fields, error);
      }
      if (responseWriter.isStarted()) {
        const labels = { kind: 'unknown', failure: 'none', stop: 'exception' };
        context.metrics.increment('incomplete_responses', labels);
        responseWriter.abort();
      } else {
        // Errors that are thrown before the first attempt say that the request has not run.
        const hasArrived = requestError.outcome !== 'not-run';
        const relayed = isRelayed ? { hasArrived } : undefined;
        sendErrorResponse(responseWriter, context.codec, requestError, relayed);
      }
    } finally {
      // A slow client may still be receiving a response from the memory.
      void responseEnd.then(bodies.release);
    }
  }

  return async (request, response) => {
    try {
      await handle(request, response);
    } catch (error) {
      // The listener logs the error and closes the connection.
      context.metrics.increment('responses_aborted', { cause: 'internal-error' });
      throw error;
    }
  };
}
