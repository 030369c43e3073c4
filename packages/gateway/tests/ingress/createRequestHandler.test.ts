import { once } from 'node:events';
import { createServer, request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createBodyMemory, createManualClock } from '@camphorbarrow/core';
import { createRequestHandler, relayHeaders } from '../../src/index.js';
import type { FleetView, GatewayContext, RequestHandlerOptions } from '../../src/index.js';
import { buildRequestMetadata, buildRoute, buildService } from '../support/builders.js';
import { discardingMetrics, silentLog } from '../support/silentSinks.js';

const service = buildService();
const isWithin = { isExceededBy: () => false };
const table = {
  version: 1,
  routes: [buildRoute({ anonymous: true })],
  services: new Map([[service.name, service]]),
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 10_000, idleTimeoutMs: 5_000 },
  customers: undefined,
};

/** Listens for peers like a host without processor time that has the neighbour `host-2`. */
async function startBusyHost(t: ExecutionContext): Promise<number> {
  const handle = createRequestHandler({
    context: {
      clock: createManualClock(),
      random: { next: () => 0 },
      log: silentLog,
      metrics: discardingMetrics,
      codec: { readRequest: () => buildRequestMetadata(), retryAfterHeader: () => [] },
      requestBodies: createBodyMemory(10_000),
    } as unknown as GatewayContext,
    view: { table: () => table } as unknown as FleetView,
    connectionLimit: isWithin as unknown as RequestHandlerOptions['connectionLimit'],
    connectionMemory: isWithin as unknown as RequestHandlerOptions['connectionMemory'],
    isDraining: () => false,
    // It drains, which is checked again after the processor time.
    acceptsRequest: (deadlineAtMs) => deadlineAtMs === 0,
    admitsRank: () => false,
    isNeighbour: (id) => id === 'host-2',
    source: 'peers',
  });
  const server = createServer((request, response) => {
    void handle(request, response);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return (server.address() as AddressInfo).port;
}

/** Code of the rejection that a host gets which relays a request. */
async function relay(port: number, relayedBy: string): Promise<unknown> {
  const outgoing = httpRequest({
    port,
    path: '/draft/1',
    headers: { Host: 'shop.example', [relayHeaders.relayedBy]: relayedBy },
    agent: false,
  }).end();
  const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
  response.resume();
  return response.headers[relayHeaders.errorCode];
}

// A host that serves the callers of its neighbours, too, could not reject any of these.
test('a host without processor time rejects requests of its neighbours like those of its callers', async (t) => {
  const port = await startBusyHost(t);
  t.is(await relay(port, 'host-2'), 'host-overloaded');
  t.is(await relay(port, 'host-3'), 'draining');
});
