import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { BackendFailedError, createDisconnectSignal, headerNames } from '@camphorbarrow/core';
import type { RequestContext, InferenceAnswer, InferenceRoute } from '@camphorbarrow/core';
import { rawHeaders } from '../callers/rawHeaders.js';
import { streamEvents } from '../callers/streamEvents.js';
import type { ForwardApi } from './ForwardApi.js';
import { keepStreamAlive } from './keepStreamAlive.js';

const ROUTES: readonly InferenceRoute[] = ['chat/completions', 'completions'];

/** Events of a response whose event stream has already been started. */
async function* eventsOf(pending: Promise<InferenceAnswer>): AsyncGenerator<string, void> {
  const { kind, ...rest } = await pending;
  if (kind === 'plain' || !('events' in rest)) {
    throw new BackendFailedError('The backend server did not send a stream.');
  }
  yield* rest.events;
}

async function send(
  reply: FastifyReply,
  pending: Promise<InferenceAnswer>,
  signal: AbortSignal,
): Promise<FastifyReply> {
  const settled = await pending.catch(() => undefined);
  if (!reply.raw.headersSent) {
    const response = settled ?? (await pending);
    if (response.kind === 'plain') {
      return reply.code(response.statusCode).type('application/json').send(response.body);
    }
  }
  void reply.hijack();
  await streamEvents(reply.raw, eventsOf(pending), signal);
  return reply;
}

/** Adds the routes for forwarded requests. The listener has checked the peer key before. */
export function addForwardRoutes(app: FastifyInstance, api: ForwardApi): void {
  const contextOf = new WeakMap<FastifyRequest, RequestContext>();
  app.removeAllContentTypeParsers();
  app.addContentTypeParser(
    '*',
    { parseAs: 'string', bodyLimit: api.maxBodyBytes },
    (_request, body, done) => {
      done(null, body);
    },
  );
  // Runs before the body is read, so that the body of a request that must not be served in this
  // region is never read here.
  app.addHook('onRequest', async (request, reply) => {
    reply.raw.setHeader(headerNames.servedBy, api.hostId);
    contextOf.set(request, api.readForwardedRequest(rawHeaders(request)));
  });
  ROUTES.forEach((route) => {
    app.post(`/forward/${route}`, { bodyLimit: api.maxBodyBytes }, async (request, reply) => {
      const signal = createDisconnectSignal(reply.raw);
      const context = contextOf.get(request) ?? api.readForwardedRequest(rawHeaders(request));
      const wantsStream = request.headers.accept === 'text/event-stream';
      const stopKeepAlive = wantsStream ? keepStreamAlive(reply.raw) : (): void => undefined;
      const pending = api
        .infer(context, route, String(request.body ?? ''), signal)
        .finally(() => stopKeepAlive());
      return send(reply, pending, signal);
    });
  });
}
