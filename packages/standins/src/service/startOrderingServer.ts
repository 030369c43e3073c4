import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { createFaultyServer } from '../faults/createFaultyServer.js';

export interface OrderingServerOptions {
  readonly serverId: string;
  readonly maxConcurrentRequests?: number;
  /** Time to run one order. @default 20 */
  readonly runMs?: number;
}

interface ExecutedOrder {
  readonly order: string;
  readonly requestId: string;
  readonly atMs: number;
}

/**
 * Starts the stand-in of an ordering server. It has no duplicate detection: every order that
 * arrives runs and is recorded at `GET /executed`.
 */
export async function startOrderingServer(
  address: string,
  port: number,
  options: OrderingServerOptions,
): Promise<void> {
  const { app } = createFaultyServer();
  const incarnation = randomUUID();
  const executed: ExecutedOrder[] = [];
  let running = 0;
  let leaving = false;

  app.post('/orders', async (request) => {
    const { order } = request.body as { order: string };
    running += 1;
    try {
      await delay(options.runMs ?? 20);
      const requestId = String(request.headers['x-request-id']);
      executed.push({ order, requestId, atMs: Date.now() });
      return { order, state: 'confirmed', confirmation: randomUUID(), server: options.serverId };
    } finally {
      running -= 1;
    }
  });
  app.get('/orders/:order', async (request) => {
    const { order } = request.params as { order: string };
    const count = executed.filter((entry) => entry.order === order).length;
    return { order, state: count > 0 ? 'confirmed' : 'unknown', server: options.serverId };
  });
  app.get('/executed', async () => ({ executed }));
  app.get('/load', async () => ({
    incarnation,
    state: leaving ? 'leaving' : 'live',
    runningRequests: running,
    waitingRequests: 0,
    maxConcurrentRequests: options.maxConcurrentRequests ?? 64,
  }));
  app.post('/leave', async () => {
    leaving = true;
    return { leaving };
  });
  await app.listen({ host: address, port });
}
