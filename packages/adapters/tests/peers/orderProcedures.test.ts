import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { randomInt, randomUUID } from 'node:crypto';
import { once } from 'node:events';
import test from 'ava';
import { createSystemClock, PeerUnavailableError, asId } from '@camphorbarrow/core';
import type {
  ClaimQuery,
  CustomerId,
  Fingerprint,
  HostId,
  Incarnation,
  RegionId,
  RelayedOrder,
  RequestId,
} from '@camphorbarrow/core';
import type { PeerApi } from '../../src/peers/PeerApi.js';
import { createPeerListener } from '../../src/peers/createPeerListener.js';
import { createTrpcPeerClient } from '../../src/peers/createTrpcPeerClient.js';

const peerKey = 'peer-key-0123456789';
const order: RelayedOrder = {
  regionId: asId<RegionId>('norte'),
  fromHostId: asId<HostId>('norte-1'),
  requestId: asId<RequestId>('r1'),
  customerId: asId<CustomerId>('workshop'),
  permit: 'cbp1.x',
  serviceName: 'orders',
  method: 'POST',
  path: '/orders',
  body: '{"order":"a"}',
};
const query: ClaimQuery = {
  regionId: asId<RegionId>('norte'),
  claimId: randomUUID(),
  incarnation: asId<Incarnation>('i1'),
  fingerprint: asId<Fingerprint>('f'),
  waitMs: 0,
};
const client = createTrpcPeerClient({ peerKey, timeoutMs: 1_000 });

const unused = (): never => {
  throw new PeerUnavailableError('not used');
};

test.after.always(() => client.close());

test('orders, errors and claim states pass unchanged between entry hosts', async (t) => {
  const address = `127.${randomInt(10, 250)}.${randomInt(0, 250)}.1`;
  const received: unknown[] = [];
  const answer = { statusCode: 201, contentType: 'text/plain', body: 'é' };
  const error = {
    message: 'none',
    code: 'no-server',
    outcome: 'not-run' as const,
    statusCode: 503,
    details: { finalForKey: true },
  };
  const api = {
    relayOrder: async (receivedOrder) => {
      received.push(receivedOrder);
      return receivedOrder.path === '/orders'
        ? { kind: 'answer', answer }
        : { kind: 'refusal', error };
    },
    orderOutcome: async (receivedQuery) => {
      received.push(receivedQuery);
      return { state: 'run', answer };
    },
  } as Partial<PeerApi> as PeerApi;
  const listener = await createPeerListener({
    clock: createSystemClock(),
    address,
    port: 9_080,
    peerKey,
    api,
    operators: {
      keys: {},
      api: { currentConfig: unused, propose: unused, status: unused, burnReport: unused },
    },
    forwardApi: {
      hostId: asId('norte-1'),
      maxBodyBytes: 1_000,
      readForwardedRequest: unused,
      infer: unused,
    },
  });
  const url = `http://${address}:9080`;
  t.deepEqual(await client.relayOrder(url, order, 1_000), { kind: 'answer', answer });
  t.deepEqual(await client.relayOrder(url, { ...order, path: '/x' }, 1_000), {
    kind: 'refusal',
    error,
  });
  t.deepEqual(await client.orderOutcome(url, query, 1_000), { state: 'run', answer });
  t.deepEqual(received, [order, { ...order, path: '/x' }, query]);
  const clientWithWrongKey = createTrpcPeerClient({
    peerKey: 'another-key-0123456789',
    timeoutMs: 1_000,
  });
  await t.throwsAsync(clientWithWrongKey.relayOrder(url, order, 1_000), {
    instanceOf: PeerUnavailableError,
  });
  t.is(received.length, 3);
  await clientWithWrongKey.close();
  await listener.close();
});

test('calls to an unresponsive peer end at their time limit', async (t) => {
  const server = createServer(() => undefined).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  await t.throwsAsync(client.relayOrder(url, order, 100), { instanceOf: PeerUnavailableError });
  await t.throwsAsync(client.orderOutcome(url, query, 100), { instanceOf: PeerUnavailableError });
  server.close();
});
