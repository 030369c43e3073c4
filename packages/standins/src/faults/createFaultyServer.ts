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
 * Creates an HTTP server with injectable faults: `POST /control` merges its JSON body into them.
 * The faults do not affect the control route.
 */
export function createFaultyServer(): FaultyServer {
  const faults: Faults = {
    delayMs: 0,
    loseAnswers: false,
    loseNextAnswers: 0,
    loseAnswersTo: '/',
    unavailable: false,
    silenceOpenConnections: false,
  };
  const sockets = new Set<Socket>();
  const silenced = new WeakSet<Socket>();

  // A corked socket buffers what is written to it, so that streams in progress stop as well.
  function silence(socket: Socket): void {
    silenced.add(socket);
    socket.cork();
  }

  const app = fastify({ bodyLimit: 268_435_456, forceCloseConnections: true });
  app.server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  app.post('/control', async (request) => {
    const change = request.body as Partial<Faults>;
    Object.assign(faults, change);
    if (change.silenceOpenConnections === true) {
      [...sockets].filter((socket) => socket !== request.socket).forEach(silence);
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

  function losesResponse(url: string): boolean {
    if (!url.startsWith(faults.loseAnswersTo)) {
      return false;
    }
    const counted = faults.loseNextAnswers > 0;
    faults.loseNextAnswers -= counted ? 1 : 0;
    return counted || faults.loseAnswers;
  }

  app.addHook('onSend', async (request) => {
    if (
      request.url !== '/control' &&
      (silenced.has(request.socket) || losesResponse(request.url))
    ) {
      // Fastify ignores `hijack` in this hook; only a hook that never resolves stops the response.
      await new Promise(() => {});
    }
  });
  return { app, faults };
}
