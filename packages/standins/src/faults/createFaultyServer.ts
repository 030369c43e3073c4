import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { Faults } from './Faults.js';

export interface FaultyServer {
  readonly app: FastifyInstance;
  readonly faults: Faults;
}

/**
 * HTTP server with `POST /control`, which merges its JSON body into the faults. The control route
 * itself is never faulty.
 */
export function createFaultyServer(): FaultyServer {
  const faults: Faults = {
    delayMs: 0,
    loseAnswers: false,
    loseAnswersTo: '',
    unavailable: false,
    silenceOpenConnections: false,
  };
  const sockets = new Set<Socket>();
  const silenced = new WeakSet<Socket>();
  const app = fastify({ bodyLimit: 268_435_456, forceCloseConnections: true });
  app.server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  app.post('/control', async (request) => {
    const change = request.body as Partial<Faults>;
    Object.assign(faults, change);
    if (change.silenceOpenConnections === true) {
      [...sockets].filter((socket) => socket !== request.socket).forEach((s) => silenced.add(s));
    }
    return faults;
  });
  app.addHook('onRequest', async (request, reply) => {
    if (request.url === '/control') {
      return;
    }
    if (silenced.has(request.socket)) {
      void reply.hijack();
      return;
    }
    if (faults.delayMs > 0) {
      await delay(faults.delayMs);
    }
    if (faults.unavailable) {
      await reply.code(503).send({ error: 'unavailable' });
    }
  });
  app.addHook('onSend', async (request) => {
    const isLost = faults.loseAnswers && request.url.startsWith(faults.loseAnswersTo);
    if (request.url !== '/control' && (isLost || silenced.has(request.socket))) {
      // Taking the reply over has no effect at this point: fastify sends it all the same.
      await new Promise(() => {});
    }
  });
  return { app, faults };
}
