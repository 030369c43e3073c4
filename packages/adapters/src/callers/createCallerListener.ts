import type { IncomingMessage } from 'node:http';
import fastify from 'fastify';
import type { FastifyInstance, FastifyRequest } from 'fastify';
import { NotFoundError, createDisconnectSignal } from '@camphorbarrow/core';
import type { Clock, RequestContext, InferenceRoute } from '@camphorbarrow/core';
import type { CallerApi } from './CallerApi.js';
import { rawHeaders } from './rawHeaders.js';
import { readBody } from './readBody.js';
import { sendError } from './sendError.js';
import { addOrderPermitRoute } from './addOrderPermitRoute.js';
import { servicePathOf } from './servicePathOf.js';
import { streamEvents } from './streamEvents.js';
import { replaceConnectionErrorHandling } from '../http/replaceConnectionErrorHandling.js';
import { trackInFlight } from '../http/trackInFlight.js';

export interface CallerListenerOptions {
  readonly clock: Clock;
  /** IP address to bind. */
  readonly address: string;
  readonly port: number;
  readonly api: CallerApi;
  /** Upper bound of `admission.maxBodyBytes`, in bytes. */
  readonly maxBodyBytes: number;
  /** Upper bound of `timeouts.bodyTimeoutMs`, after which the connection is closed. */
  readonly requestTimeoutMs: number;
}

export interface CallerListener {
  /** Number of requests whose response is not complete. */
  inFlight(): number;
  /** Resolves when no request is in flight. New requests are still served. */
  idle(): Promise<void>;
  /** Releases the port and closes all connections, including those with requests in flight. */
  close(): Promise<void>;
}

const HEADERS_TIMEOUT_MS = 10_000;

function addInferenceRoutes(
  app: FastifyInstance,
  api: CallerApi,
  contextOf: WeakMap<FastifyRequest, RequestContext>,
): void {
  const routes: InferenceRoute[] = ['chat/completions', 'completions'];
  routes.forEach((route) => {
    app.post(`/v1/${route}`, async (request, reply) => {
      const signal = createDisconnectSignal(reply.raw);
      const context = contextOf.get(request) ?? api.readCallerRequest(rawHeaders(request));
      const response = await api.infer(context, route, String(request.body ?? ''), signal);
      if (response.kind === 'plain') {
        return reply.code(response.statusCode).type('application/json').send(response.body);
      }
      void reply.hijack();
      await streamEvents(reply.raw, response.events, signal);
      return reply;
    });
  });
}

function addServiceRoutes(
  app: FastifyInstance,
  api: CallerApi,
  contextOf: WeakMap<FastifyRequest, RequestContext>,
): void {
  app.all('/v1/services/:service/*', async (request, reply) => {
    const signal = createDisconnectSignal(reply.raw);
    const { service } = request.params as { service: string };
    const context = contextOf.get(request) ?? api.readCallerRequest(rawHeaders(request));
    const response = await api.callService(
      {
        context,
        serviceName: service,
        method: request.method,
        path: servicePathOf(request.url),
        contentType: request.headers['content-type'],
        body: typeof request.body === 'string' ? request.body : undefined,
      },
      signal,
    );
    void reply.code(response.statusCode);
    if (response.contentType !== undefined) {
      void reply.type(response.contentType);
    }
    return reply.send(response.body);
  });
}

/** Starts the HTTP listener for callers (docs/api.md). */
export async function createCallerListener(
  options: CallerListenerOptions,
): Promise<CallerListener> {
  const { api } = options;
  const contextOf = new WeakMap<FastifyRequest, RequestContext>();
  const app = fastify({
    bodyLimit: options.maxBodyBytes,
    requestTimeout: options.requestTimeoutMs,
    http: { headersTimeout: HEADERS_TIMEOUT_MS },
    forceCloseConnections: true,
    frameworkErrors: (_error, _request, reply) => {
      sendError(reply, new NotFoundError('The route does not exist.'));
    },
    return503OnClosing: false,
  });
  replaceConnectionErrorHandling(app, options.clock);
  const requests = trackInFlight(app);
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', async (request: FastifyRequest, payload: IncomingMessage) => {
    const { admission, timeouts } = (
      contextOf.get(request) ?? api.readCallerRequest(rawHeaders(request))
    ).settings;
    const limits = {
      maxBodyBytes: Math.min(admission.maxBodyBytes, options.maxBodyBytes),
      bodyTimeoutMs: timeouts.bodyTimeoutMs,
    };
    return readBody(payload, request.headers['content-length'], limits, options.clock);
  });
  app.setErrorHandler((error, _request, reply) => sendError(reply, error));
  app.setNotFoundHandler((_request, reply) =>
    sendError(reply, new NotFoundError('The route does not exist.')),
  );
  // Runs before the body is read, so that this region never reads the body of a request that is
  // bound to another one.
  app.addHook('onRequest', async (request, reply) => {
    if (!api.readiness().ready) {
      // Makes callers reconnect, to an entry host of the list that is current then.
      void reply.header('connection', 'close');
    }
    const isPublic = request.url === '/healthz' || request.url === '/v1/entry-hosts';
    if (!isPublic && request.url.startsWith('/v1/')) {
      api.requireAccepting();
      contextOf.set(request, api.readCallerRequest(rawHeaders(request)));
    }
  });
  app.get('/healthz', async (_request, reply) => {
    const readiness = api.readiness();
    return reply.code(readiness.ready ? 200 : 503).send(readiness);
  });
  app.get('/v1/entry-hosts', async () => api.entryHosts());
  app.get('/v1/models', async () => ({
    object: 'list',
    data: api
      .models()
      .map((id) => ({ id, object: 'model', created: 0, owned_by: 'camphorbarrow' })),
  }));
  addInferenceRoutes(app, api, contextOf);
  addServiceRoutes(app, api, contextOf);
  addOrderPermitRoute(
    app,
    api,
    (request) => contextOf.get(request) ?? api.readCallerRequest(rawHeaders(request)),
  );
  await app.listen({ host: options.address, port: options.port });
  return { ...requests, close: () => app.close() };
}
