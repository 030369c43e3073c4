import type { ServerRegistry } from '../../src/membership/createServerRegistry.js';
import type { ServerView } from '../../src/routing/ServerView.js';

/**
 * Registry of ordering servers `s1` to `s<count>` that always accept work. The base URL of server
 * `s<n>` is `http://s<n>`.
 */
export function createFakeRegistry(count: number): ServerRegistry {
  return {
    hasReadList: () => true,
    servers: () =>
      Array.from({ length: count }, (_, index) => {
        const serverId = `s${index + 1}`;
        return {
          entry: {
            serverId,
            kind: 'service',
            serviceName: 'orders',
            baseUrl: `http://${serverId}`,
          },
          accepting: true,
        } as unknown as ServerView;
      }),
    get: () => undefined,
    reserve: () => ({ release: () => undefined }),
    markUnreachable: () => undefined,
    refresh: async () => undefined,
    start: () => undefined,
    close: async () => undefined,
  };
}
