import { Agent } from 'undici';
import type { Dispatcher } from 'undici';

export interface ServerPools {
  /** Connection pool of a server, by its base URL. */
  poolOf(baseUrl: string): Dispatcher;
  /**
   * Stops using the pool: requests in flight continue on it, new requests use new connections.
   * Called after a request timed out, since an unresponsive link affects all connections over it.
   */
  retirePool(baseUrl: string, pool: Dispatcher): void;
  close(): Promise<void>;
}

/** Creates a set of connection pools, one per server. */
export function createServerPools(options: Agent.Options): ServerPools {
  const pools = new Map<string, Agent>();
  const retiring = new Set<Agent>();

  return {
    poolOf(baseUrl) {
      const pool = pools.get(baseUrl) ?? new Agent(options);
      pools.set(baseUrl, pool);
      return pool;
    },
    retirePool(baseUrl, pool) {
      const current = pools.get(baseUrl);
      if (current === undefined || current !== pool) {
        return;
      }
      pools.delete(baseUrl);
      retiring.add(current);
      void current.close().finally(() => retiring.delete(current));
    },
    async close() {
      const all = [...pools.values(), ...retiring];
      await Promise.all(all.map((pool) => pool.destroy()));
    },
  };
}
