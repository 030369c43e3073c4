import type { StandIn } from '../StandIn.js';
import { createFaultyServer } from '../faults/createFaultyServer.js';

/** Starts a stand-in for the client directory, which stores one JSON document per region. */
export async function startClientDirectory(address: string, port: number): Promise<StandIn> {
  const { app } = createFaultyServer();
  const entries = new Map<string, unknown>();
  app.put('/v1/directory/:region', async (request) => {
    const { region } = request.params as { region: string };
    entries.set(region, request.body);
    return {};
  });
  app.get('/v1/directory/:region', async (request, reply) => {
    const { region } = request.params as { region: string };
    const entry = entries.get(region);
    return entry === undefined ? reply.code(404).send({ error: 'unknown region' }) : entry;
  });
  const url = await app.listen({ host: address, port });
  return { url, close: () => app.close() };
}
