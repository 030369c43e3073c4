import { Agent } from 'undici';
import type { Dispatcher } from 'undici';

export interface ServerPools {
  /** Connections to a server, by its base URL. */
  poolOf(baseUrl: string): Dispatcher;
  /**
   * Gives the connections open now up: requests in flight go on, new ones use new connections. For
   * a request that timed out, because all connections of a silent link are silent.
   */
  retirePool(baseUrl: string, pool: Dispatcher): void;
  close(): Promise<void>;
}

/** Keeps one pool of connections per server. */
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
