import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  DrainingError,
  NoConfigurationError,
  NotFoundError,
  RequestError,
  UnknownServiceError,
} from '@camphorbarrow/core';
import { createResponseWriter } from '../exchange/createResponseWriter.js';
import type { Exchange } from '../exchange/Exchange.js';
import type { GatewayContext } from '../exchange/GatewayContext.js';
import { relayHeaders } from '../exchange/relayHeaders.js';
import { sendErrorResponse } from '../exchange/sendErrorResponse.js';
import { serveExchange } from '../exchange/serveExchange.js';
import type { FleetView } from '../fleet/createFleetView.js';
import type { Route } from '../model/Route.js';
import type { RoutingTable } from '../model/RoutingTable.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import { findRoute } from '../routing/findRoute.js';
import { pickTarget } from '../routing/pickTarget.js';
import { createFingerprint } from './createFingerprint.js';
import { readBody } from './readBody.js';

/** When to come back to a host that has no configuration yet. */
const NO_CONFIGURATION_RETRY_MS = 500;

export interface RequestHandlerOptions {
  readonly context: GatewayContext;
  readonly view: FleetView;
  /** Whether connections are to be closed with their next answer. */
  readonly isDraining: () => boolean;
  /** Whether new requests are refused, because they would not end before the process does. */
  readonly isRejectingRequests: () => boolean;
  /** `callers`, or `peers` for requests that another entry host passes on. */
  readonly source: 'callers' | 'peers';
}

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

function requireTable(view: FleetView): RoutingTable {
  const table = view.table();
  if (table === undefined) {
    throw new NoConfigurationError('This entry host has no configuration yet.', {
      props: { retryAfterMs: NO_CONFIGURATION_RETRY_MS },
    });
  }
  return table;
}

function requireShortHead(table: RoutingTable, request: IncomingMessage): void {
  const { maxHeaderBytes } = table.limits;
  const sizeBytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
  if (sizeBytes > maxHeaderBytes) {
    throw new RequestError(`The head of the request exceeds ${maxHeaderBytes} bytes.`, {
      props: { code: 'headers-too-large', statusCode: 431, outcome: 'not-run' },
    });
  }
}

function requireRoute(table: RoutingTable, request: IncomingMessage): Route {
  const route = findRoute(table, request.headers.host ?? '', request.url ?? '');
  if (route === undefined) {
    throw new NotFoundError('No route matches the host and path.');
  }
  return route;
}

function requireService(
  table: RoutingTable,
  route: Route,
  name: ServiceName | undefined,
): ServiceSpec {
  const service = name === undefined ? undefined : table.services.get(name);
  if (service === undefined) {
    throw new UnknownServiceError(`The route ${route.name} names no known service.`, {
      props: { statusCode: 503, retryAfterMs: NO_CONFIGURATION_RETRY_MS },
    });
  }
  return service;
}

function singleHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Creates the function that takes requests from a listener and answers each of them. */
export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
  const { context, view } = options;
  const relayed = options.source === 'peers';

  function chooseService(table: RoutingTable, route: Route, request: IncomingMessage): ServiceSpec {
    const asked = relayed ? singleHeader(request, relayHeaders.service) : undefined;
    const allowed = route.targets.find(({ service }) => service === asked)?.service;
    return requireService(table, route, allowed ?? pickTarget(route, context.random));
  }

  async function toExchange(
    request: IncomingMessage,
    sink: Exchange['responseWriter'],
    arrivedAtMs: number,
  ): Promise<Exchange> {
    if (options.isRejectingRequests()) {
      throw new DrainingError('This entry host is shutting down.', { props: { retryAfterMs: 0 } });
    }
    const table = requireTable(view);
    requireShortHead(table, request);
    const route = requireRoute(table, request);
    const service = chooseService(table, route, request);
    const body = await readBody(request, table.limits);
    const method = request.method ?? 'GET';
    const target = request.url ?? '/';
    const facts = context.codec.readRequest(request.headers);
    const timeoutMs = Math.min(route.timeoutMs, facts.deadlineMs ?? route.timeoutMs);
    return {
      method,
      target,
      rawHeaders: request.rawHeaders,
      body,
      fingerprint: createFingerprint(method, target, body),
      metadata: facts,
      expectedEvents: context.outputLengths.expectedEvents({ route, service, metadata: facts }),
      typicalEvents: context.outputLengths.typicalEvents({ route, service, metadata: facts }),
      route,
      service,
      tableVersion: table.version,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + timeoutMs,
      relayedBy: relayed ? (singleHeader(request, relayHeaders.relayedBy) ?? '') : undefined,
      responseWriter: sink,
    };
  }

  return async (request, response) => {
    const arrivedAtMs = context.clock.monotonicMs();
    const sink = createResponseWriter(response, options.isDraining);
    try {
      await serveExchange(context, await toExchange(request, sink, arrivedAtMs));
    } catch (error) {
      const refusal =
        error instanceof RequestError
          ? error
          : new RequestError('The gateway failed.', { cause: error });
      const fields = {
        requestId: context.codec.readRequest(request.headers).attemptId,
        code: refusal.code,
        status: refusal.statusCode,
        tableVersion: view.table()?.version,
        callerLeft: sink.disconnected.aborted,
      };
      context.metrics.increment('refusals', { code: refusal.code });
      if (error instanceof RequestError) {
        context.log.info('request-refused', fields);
      } else {
        context.log.error('request-failed', fields, error);
      }
      if (sink.isStarted()) {
        sink.abort();
      } else {
        sendErrorResponse(sink, context.codec, refusal, relayed);
      }
    }
  };
}
