import { createHash, timingSafeEqual } from 'node:crypto';
import fastify from 'fastify';
import { fastifyTRPCPlugin } from '@trpc/server/adapters/fastify';
import type { FastifyTRPCPluginOptions } from '@trpc/server/adapters/fastify';
import { UnauthenticatedError, headerNames } from '@camphorbarrow/core';
import type { Clock } from '@camphorbarrow/core';
import { replaceConnectionErrorHandling } from '../http/replaceConnectionErrorHandling.js';
import { createGracefulClose } from '../http/createGracefulClose.js';
import { sendError } from '../callers/sendError.js';
import { operatorPrefix } from '../operators/operatorPrefix.js';
import { registerOperatorApi } from '../operators/registerOperatorApi.js';
import type { OperatorAccess } from '../operators/registerOperatorApi.js';
import type { ForwardApi } from './ForwardApi.js';
import type { PeerApi } from './PeerApi.js';
import { addForwardRoutes } from './addForwardRoutes.js';
import { peerRouter } from './peerRouter.js';
import type { PeerRouter } from './peerRouter.js';

export interface PeerListenerOptions {
  readonly clock: Clock;
  /** IP address to bind. */
  readonly address: string;
  readonly port: number;
  readonly peerKey: string;
  readonly api: PeerApi;
  /** Operators' interface, served under `/operator` with the operators' own keys. */
  readonly operators: OperatorAccess;
  /** Serves requests that entry hosts of other regions forward. */
  readonly forwardApi: ForwardApi;
}

export interface PeerListener {
  close(): Promise<void>;
}

const MAX_BODY_BYTES = 4_194_304;

const sha256 = (text: string): Buffer => createHash('sha256').update(text).digest();

/**
 * Starts the listener for other entry hosts and for operators. Every call needs the peer key, or an
 * operator's key for the operators' interface.
 */
export async function createPeerListener(options: PeerListenerOptions): Promise<PeerListener> {
  const app = fastify({ bodyLimit: MAX_BODY_BYTES, forceCloseConnections: true });
  replaceConnectionErrorHandling(app, options.clock);
  const close = createGracefulClose(app);
  const expected = sha256(`Bearer ${options.peerKey}`);
  app.addHook('onRequest', async (request) => {
    // The operators' routes check their own keys. The URL as sent must not be used here: it may
    // differ from the matched route.
    if (request.routeOptions.url?.startsWith(`${operatorPrefix}/`) === true) {
      return;
    }
    if (!timingSafeEqual(sha256(request.headers.authorization ?? ''), expected)) {
      throw new UnauthenticatedError('The peer key is missing or wrong.');
    }
  });
  app.setErrorHandler((error, _request, reply) => {
    void reply.header(headerNames.refusal, 'true');
    return sendError(reply, error);
  });
  await app.register(async (scope) => addForwardRoutes(scope, options.forwardApi));
  await app.register(fastifyTRPCPlugin, {
    prefix: '/trpc',
    trpcOptions: { router: peerRouter, createContext: () => ({ api: options.api }) },
  } satisfies FastifyTRPCPluginOptions<PeerRouter>);
  await registerOperatorApi(app, options.operators);
  await app.listen({ host: options.address, port: options.port });
  return { close };
}
