import fastify from 'fastify';
import type { Socket } from 'node:net';
import type { StandIn } from '../StandIn.js';
import type { RelayEndpoint, RelayOptions, RelayRoute } from './RelayOptions.js';
import type { RelayRule } from './RelayRule.js';
import { createRelayListener } from './createRelayListener.js';
import { UNKNOWN_SOURCE, createRelayRules, matchesEndpoint } from './createRelayRules.js';
import { createTrafficRecorder } from './createTrafficRecorder.js';
import { relayConnection } from './relayConnection.js';
import type { RelayedConnection } from './relayConnection.js';

/**
 * Starts the network relay of a test deployment. Its control interface listens on the given
 * address: `PUT` and `DELETE /rules/{id}`, `POST /silence` with `from` and `to`, `GET /links` and
 * `POST /search` with `marker`.
 */
export async function startRelay(
  address: string,
  port: number,
  options: RelayOptions,
): Promise<StandIn> {
  const rules = createRelayRules(options.regionDelayMs ?? 0);
  const trafficRecorder = createTrafficRecorder();
  const connections = new Set<RelayedConnection>();
  const sources = new Map(options.sources.map((source) => [source.address, source]));

  function sourceOf(client: Socket): RelayEndpoint {
    const source = sources.get(client.remoteAddress ?? '');
    return source === undefined
      ? { name: UNKNOWN_SOURCE, region: UNKNOWN_SOURCE }
      : { name: source.name, region: source.region };
  }

  function accept(client: Socket, route: RelayRoute): void {
    const from = sourceOf(client);
    if (rules.cut(from, route) === 'reset' || rules.cut(route, from) === 'reset') {
      client.resetAndDestroy();
      return;
    }
    const connection = relayConnection({ client, from, route, rules, trafficRecorder });
    connections.add(connection);
    void connection.ended.then(() => connections.delete(connection));
  }

  function connectionsBetween(from: string, to: string): RelayedConnection[] {
    return [...connections].filter(
      (connection) =>
        (matchesEndpoint(from, connection.from) && matchesEndpoint(to, connection.to)) ||
        (matchesEndpoint(from, connection.to) && matchesEndpoint(to, connection.from)),
    );
  }

  const listeners = options.routes.map((route) =>
    createRelayListener(route, (client) => accept(client, route)),
  );

  const app = fastify({ forceCloseConnections: true });
  app.put('/rules/:id', async (request) => {
    const { id } = request.params as { id: string };
    const rule = request.body as RelayRule;
    rules.set(id, rule);
    if (rule.cut === 'reset') {
      connectionsBetween(rule.from, rule.to).forEach((connection) => connection.reset());
    }
    return {};
  });
  app.delete('/rules/:id', async (request) => {
    rules.remove((request.params as { id: string }).id);
    return {};
  });
  app.post('/silence', async (request) => {
    const { from, to } = request.body as { from: string; to: string };
    const silenced = connectionsBetween(from, to);
    silenced.forEach((connection) => connection.silence());
    return { silenced: silenced.length };
  });
  app.get('/links', async () => ({ links: trafficRecorder.links() }));
  app.post('/search', async (request) => ({
    sightings: trafficRecorder.search((request.body as { marker: string }).marker),
    truncated: trafficRecorder.truncated(),
  }));
  const url = await app.listen({ host: address, port });
  return {
    url,
    async close() {
      await Promise.all(listeners.map((listener) => listener.close()));
      connections.forEach((connection) => connection.reset());
      await app.close();
    },
  };
}
