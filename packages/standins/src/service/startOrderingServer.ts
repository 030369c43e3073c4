import { createHash, randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import type { StandIn } from '../StandIn.js';
import { createFaultyServer } from '../faults/createFaultyServer.js';
import { addRecordRoute } from '../records/addRecordRoute.js';
import { createRecordLog } from '../records/createRecordLog.js';

export interface OrderingServerOptions {
  readonly serverId: string;
  readonly maxConcurrentRequests?: number;
  /** Time to execute one order. @default 20 */
  readonly runMs?: number;
  /** File for the records of `GET /executed`; when absent, they are kept only in memory. */
  readonly recordFile?: string;
}

/**
 * Starts a stand-in for an ordering server. It does not detect duplicates: every order that it
 * receives is executed and recorded at `GET /executed`.
 */
export async function startOrderingServer(
  address: string,
  port: number,
  options: OrderingServerOptions,
): Promise<StandIn> {
  const { app } = createFaultyServer();
  const incarnation = randomUUID();
  const records = createRecordLog(options.recordFile);
  let running = 0;
  let leaving = false;

  app.post('/orders', async (request) => {
    const { order } = request.body as { order: string };
    const metadata = { requestId: String(request.headers['x-request-id']), call: order };
    const path = request.headers['x-camphorbarrow-path']?.toString();
    records.add({ kind: 'arrived', atMs: Date.now(), ...metadata, path });
    running += 1;
    try {
      await delay(options.runMs ?? 20);
      const digest = createHash('sha256').update(JSON.stringify(request.body)).digest('hex');
      records.add({ kind: 'executed', atMs: Date.now(), ...metadata, digest });
      return { order, state: 'confirmed', confirmation: randomUUID(), server: options.serverId };
    } finally {
      running -= 1;
    }
  });
  app.get('/orders/:order', async (request) => {
    const { order } = request.params as { order: string };
    const confirmed = records
      .all()
      .some((record) => record.kind === 'executed' && record.call === order);
    return { order, state: confirmed ? 'confirmed' : 'unknown', server: options.serverId };
  });
  addRecordRoute(app, records);
  records.add({ kind: 'started', atMs: Date.now() });
  app.get('/load', async () => ({
    incarnation,
    state: leaving ? 'leaving' : 'live',
    runningRequests: running,
    waitingRequests: 0,
    maxConcurrentRequests: options.maxConcurrentRequests ?? 64,
  }));
  app.post('/leave', async () => {
    leaving = true;
    records.add({ kind: 'leaving', atMs: Date.now() });
    return { leaving };
  });
  const url = await app.listen({ host: address, port });
  return { url, close: () => app.close() };
}
