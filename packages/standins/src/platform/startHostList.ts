import type { StandIn } from '../StandIn.js';
import { createFaultyServer } from '../faults/createFaultyServer.js';

export interface HostListOptions {
  /** Backend servers, in the format of `GET /v1/hosts`. */
  readonly hosts: readonly object[];
  /** Delay until readers see a change of the list. @default 0 */
  readonly lagMs?: number;
}

/**
 * Starts a stand-in for the host list, which lists the backend servers. `PUT /v1/hosts` replaces the
 * list after `lagMs`.
 */
export async function startHostList(
  address: string,
  port: number,
  options: HostListOptions,
): Promise<StandIn> {
  const { app } = createFaultyServer();
  let { hosts } = options;
  app.get('/v1/hosts', async () => ({ hosts }));
  app.put('/v1/hosts', async (request) => {
    const { hosts: next } = request.body as { hosts: readonly object[] };
    setTimeout(() => {
      hosts = next;
    }, options.lagMs ?? 0).unref();
    return {};
  });
  const url = await app.listen({ host: address, port });
  return { url, close: () => app.close() };
}
