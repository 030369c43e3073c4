import fastify from 'fastify';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import {
  BodyTooLargeError,
  DrainingError,
  InvalidBodyError,
  NotFoundError,
  RequestError,
} from '@camphorbarrow/core';
import type { CallerFacts, InferenceRoute } from '@camphorbarrow/core';
import { createGracefulClose } from '../http/createGracefulClose.js';
import type { CallerApi } from './CallerApi.js';
import { streamEvents } from './streamEvents.js';
import { toErrorBody } from './toErrorBody.js';

export interface CallerListenerOptions {
  /** IP address to bind. */
  readonly address: string;
  readonly port: number;
  readonly api: CallerApi;
  /** Bound of a request body, in bytes. */
  readonly maxBodyBytes: number;
  /** Time in which the whole request has to arrive. */
  readonly requestTimeoutMs: number;
}

export interface CallerListener {
  /** Refuses new requests as draining, waits for requests in flight and releases the port. */
  close(): Promise<void>;
}

const HEADERS_TIMEOUT_MS = 10_000;
const MS_PER_SECOND = 1000;

function rawHeaders(request: FastifyRequest): Record<string, string | string[] | undefined> {
  return Object.fromEntries(
    Object.entries(request.raw.headersDistinct).map(([name, values]) => [
      name,
      values?.length === 1 ? values[0] : values,
    ]),
  );
}

function toRequestError(error: unknown): unknown {
  if (error instanceof RequestError || !(error instanceof Error)) {
    return error;
  }
  const code = 'code' in error ? error.code : undefined;
  if (code === 'FST_ERR_CTP_BODY_TOO_LARGE') {
    return new BodyTooLargeError('The request body is larger than this host accepts.');
  }
  const statusCode = 'statusCode' in error ? Number(error.statusCode) : 500;
  if (statusCode >= 400 && statusCode < 500) {
    return new InvalidBodyError(error.message, { cause: error });
  }
  return error;
}

function sendError(reply: FastifyReply, error: unknown): FastifyReply {
  const { statusCode, body } = toErrorBody(toRequestError(error));
  if (body.error.retryAfterMs !== undefined) {
    void reply.header('retry-after', Math.ceil(body.error.retryAfterMs / MS_PER_SECOND));
  }
  return reply.code(statusCode).send(body);
}

/** Aborts when the caller's connection closes before the answer is complete. */
function disconnectSignal(reply: FastifyReply): AbortSignal {
  const controller = new AbortController();
  reply.raw.on('close', () => {
    if (!reply.raw.writableFinished) {
      controller.abort();
    }
  });
  return controller.signal;
}

function addInferenceRoutes(
  app: FastifyInstance,
  api: CallerApi,
  factsOf: WeakMap<FastifyRequest, CallerFacts>,
): void {
  const routes: InferenceRoute[] = ['chat/completions', 'completions'];
  routes.forEach((route) => {
    app.post(`/v1/${route}`, async (request, reply) => {
      const signal = disconnectSignal(reply);
      const facts = factsOf.get(request) ?? api.readCaller(rawHeaders(request));
      const answer = await api.infer(facts, route, String(request.body ?? ''), signal);
      if (answer.kind === 'plain') {
        return reply.code(answer.statusCode).type('application/json').send(answer.body);
      }
      void reply.hijack();
      await streamEvents(reply.raw, answer.events, signal);
      return reply;
    });
  });
}

function addServiceRoutes(
  app: FastifyInstance,
  api: CallerApi,
  factsOf: WeakMap<FastifyRequest, CallerFacts>,
): void {
  app.all('/v1/services/:service/*', async (request, reply) => {
    const signal = disconnectSignal(reply);
    const { service } = request.params as { service: string };
    const facts = factsOf.get(request) ?? api.readCaller(rawHeaders(request));
    const answer = await api.callService(
      {
        facts,
        serviceName: service,
        method: request.method,
        path: request.url.slice(`/v1/services/${encodeURIComponent(service)}`.length),
        contentType: request.headers['content-type'],
        body: typeof request.body === 'string' ? request.body : undefined,
      },
      signal,
    );
    void reply.code(answer.statusCode);
    if (answer.contentType !== undefined) {
      void reply.type(answer.contentType);
    }
    return reply.send(answer.body);
  });
}

/** Starts the HTTP listener for callers (docs/api.md). */
export async function createCallerListener(
  options: CallerListenerOptions,
): Promise<CallerListener> {
  const { api } = options;
  const factsOf = new WeakMap<FastifyRequest, CallerFacts>();
  const app = fastify({
    bodyLimit: options.maxBodyBytes,
    requestTimeout: options.requestTimeoutMs,
    http: { headersTimeout: HEADERS_TIMEOUT_MS },
    forceCloseConnections: true,
  });
  let closing = false;
  const close = createGracefulClose(app, () => {
    closing = true;
  });
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'string' }, (_request, body, done) => {
    done(null, body);
  });
  app.setErrorHandler((error, _request, reply) => sendError(reply, error));
  app.setNotFoundHandler((_request, reply) =>
    sendError(reply, new NotFoundError('The route does not exist.')),
  );
  // Runs before the body is read, so that a request bound to another region leaves its body there.
  app.addHook('onRequest', async (request) => {
    const isPublic = request.url === '/healthz' || request.url === '/v1/entry-hosts';
    if (closing && request.url.startsWith('/v1/')) {
      throw new DrainingError('This entry host is shutting down; ask another one.');
    }
    if (!isPublic && request.url.startsWith('/v1/')) {
      factsOf.set(request, api.readCaller(rawHeaders(request)));
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
  addInferenceRoutes(app, api, factsOf);
  addServiceRoutes(app, api, factsOf);
  await app.listen({ host: options.address, port: options.port });
  return { close };
}
