import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { BackendFailedError, headerNames } from '@camphorbarrow/core';
import type { RequestContext, InferenceAnswer, InferenceRoute } from '@camphorbarrow/core';
import { disconnectSignal } from '../callers/disconnectSignal.js';
import { rawHeaders } from '../callers/rawHeaders.js';
import { streamEvents } from '../callers/streamEvents.js';
import type { ForwardApi } from './ForwardApi.js';
import { keepStreamAlive } from './keepStreamAlive.js';

const ROUTES: readonly InferenceRoute[] = ['chat/completions', 'completions'];

/** Events of an answer whose response has already started as a stream. */
async function* eventsOf(answer: Promise<InferenceAnswer>): AsyncGenerator<string, void> {
  const { kind, ...rest } = await answer;
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
    const answer = settled ?? (await pending);
    if (answer.kind === 'plain') {
      return reply.code(answer.statusCode).type('application/json').send(answer.body);
    }
  }
  void reply.hijack();
  await streamEvents(reply.raw, eventsOf(pending), signal);
  return reply;
}

/** Adds the routes on which other entry hosts hand over requests. The peer key is checked before. */
export function addForwardRoutes(app: FastifyInstance, api: ForwardApi): void {
  const factsOf = new WeakMap<FastifyRequest, RequestContext>();
  app.removeAllContentTypeParsers();
  app.addContentTypeParser(
    '*',
    { parseAs: 'string', bodyLimit: api.maxBodyBytes },
    (_request, body, done) => {
      done(null, body);
    },
  );
  // Runs before the body is read, so that a request that must not be here leaves its body there.
  app.addHook('onRequest', async (request, reply) => {
    reply.raw.setHeader(headerNames.servedBy, api.hostId);
    factsOf.set(request, api.readForwardedRequest(rawHeaders(request)));
  });
  ROUTES.forEach((route) => {
    app.post(`/forward/${route}`, { bodyLimit: api.maxBodyBytes }, async (request, reply) => {
      const signal = disconnectSignal(reply);
      const facts = factsOf.get(request) ?? api.readForwardedRequest(rawHeaders(request));
      const wantsStream = request.headers.accept === 'text/event-stream';
      const stop = wantsStream ? keepStreamAlive(reply.raw) : (): void => undefined;
      const pending = api
        .infer(facts, route, String(request.body ?? ''), signal)
        .finally(() => stop());
      return send(reply, pending, signal);
    });
  });
}
