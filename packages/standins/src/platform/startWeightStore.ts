import type { StandIn } from '../StandIn.js';
import { createFaultyServer } from '../faults/createFaultyServer.js';

export interface WeightStoreOptions {
  /** Downloads per second; requests above this rate get status 429. @default 1 */
  readonly downloadsPerSecond?: number;
}

const MS_PER_SECOND = 1000;

/** Starts a stand-in for the rate-limited weight store. */
export async function startWeightStore(
  address: string,
  port: number,
  options: WeightStoreOptions,
): Promise<StandIn> {
  const { app } = createFaultyServer();
  const intervalMs = MS_PER_SECOND / (options.downloadsPerSecond ?? 1);
  let nextAtMs = 0;
  app.get('/v1/weights/:name', async (request, reply) => {
    const { name } = request.params as { name: string };
    if (Date.now() < nextAtMs) {
      return reply.code(429).header('retry-after', '1').send({ error: 'rate limited' });
    }
    nextAtMs = Date.now() + intervalMs;
    return { name };
  });
  const url = await app.listen({ host: address, port });
  return { url, close: () => app.close() };
}
