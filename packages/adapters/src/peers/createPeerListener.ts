import { createHash, timingSafeEqual } from 'node:crypto';
import fastify from 'fastify';
import { fastifyTRPCPlugin } from '@trpc/server/adapters/fastify';
import type { FastifyTRPCPluginOptions } from '@trpc/server/adapters/fastify';
import { UnauthenticatedError } from '@camphorbarrow/core';
import { createGracefulClose } from '../http/createGracefulClose.js';
import { toErrorBody } from '../callers/toErrorBody.js';
import type { PeerApi } from './PeerApi.js';
import { peerRouter } from './peerRouter.js';
import type { PeerRouter } from './peerRouter.js';

export interface PeerListenerOptions {
  /** IP address to bind. */
  readonly address: string;
  readonly port: number;
  readonly peerKey: string;
  readonly api: PeerApi;
}

export interface PeerListener {
  close(): Promise<void>;
}

const MAX_BODY_BYTES = 4_194_304;

const sha256 = (text: string): Buffer => createHash('sha256').update(text).digest();

/** Starts the listener for other entry hosts. Every call has to carry the peer key. */
export async function createPeerListener(options: PeerListenerOptions): Promise<PeerListener> {
  const app = fastify({ bodyLimit: MAX_BODY_BYTES, forceCloseConnections: true });
  const close = createGracefulClose(app);
  const expected = sha256(`Bearer ${options.peerKey}`);
  app.addHook('onRequest', async (request) => {
    if (!timingSafeEqual(sha256(request.headers.authorization ?? ''), expected)) {
      throw new UnauthenticatedError('The peer key is missing or wrong.');
    }
  });
  app.setErrorHandler((error, _request, reply) => {
    const { statusCode, body } = toErrorBody(error);
    return reply.code(statusCode).send(body);
  });
  await app.register(fastifyTRPCPlugin, {
    prefix: '/trpc',
    trpcOptions: { router: peerRouter, createContext: () => ({ api: options.api }) },
  } satisfies FastifyTRPCPluginOptions<PeerRouter>);
  await app.listen({ host: options.address, port: options.port });
  return { close };
}
