import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import anyTest from 'ava';
import type { TestFn } from 'ava';
import { request } from 'undici';
import {
  createSystemClock,
  InvalidChangeError,
  OperatorCallError,
  PlatformError,
  asId,
  fleetDefaultsSchema,
} from '@camphorbarrow/core';
import type { ConfigChange } from '@camphorbarrow/core';
import type { ChangeRequest } from '../../src/operators/ChangeRequest.js';
import { createOperatorClient } from '../../src/operators/createOperatorClient.js';
import type { OperatorClient } from '../../src/operators/createOperatorClient.js';
import { createPeerListener } from '../../src/peers/createPeerListener.js';
import type { PeerListener } from '../../src/peers/createPeerListener.js';
import { createFakePeerApi } from '../peers/createFakePeerApi.js';

/** Loopback addresses that no other test uses, so that ports never collide. */
const ADDRESS = '127.211.7.1';
const UNRESPONSIVE_ADDRESS = '127.211.7.2';
const UNUSED_ADDRESS = '127.211.7.3';
const PORT = 9_080;
const PEER_KEY = 'peer-key-0123456789';
const ANA_KEY = 'ana-key-0123456789';

const test = anyTest as TestFn<{ listener: PeerListener; url: string; proposed: ConfigChange[] }>;

function clientOf(url: string, key: string, timeoutMs = 5_000): OperatorClient {
  return createOperatorClient({ url, key, timeoutMs });
}

const change = (changeId: string): ChangeRequest => ({
  changeId,
  reason: 'test',
  operation: { kind: 'set-defaults', defaults: fleetDefaultsSchema.parse({}) },
});

const unused = (): never => {
  throw new PlatformError('not used');
};

test.before(async (t) => {
  const proposed: ConfigChange[] = [];
  const listener = await createPeerListener({
    clock: createSystemClock(),
    address: ADDRESS,
    port: PORT,
    peerKey: PEER_KEY,
    api: createFakePeerApi(unused),
    forwardApi: {
      hostId: asId('norte-1'),
      maxBodyBytes: 1_000,
      readForwardedRequest: unused,
      infer: unused,
    },
    operators: {
      keys: { rui: 'rui-key-0123456789', ana: ANA_KEY },
      api: {
        currentConfig: () => undefined,
        async propose(received) {
          proposed.push(received);
          if (received.changeId === 'does-not-fit') {
            throw new InvalidChangeError('It does not fit.');
          }
          return { outcome: 'unknown', changeId: received.changeId };
        },
        burnReport: unused,
        status: () => ({ self: {} as never, storeReachable: true, peers: [], servers: [] }),
      },
    },
  });
  t.context = { listener, url: `http://${ADDRESS}:${PORT}`, proposed };
});

test.after.always((t) => t.context.listener.close());

test('the author of a change is the operator whose key was used', async (t) => {
  const client = clientOf(t.context.url, ANA_KEY);
  const response = await client.propose(change('change-0001'));
  t.deepEqual(response, { outcome: 'unknown', changeId: 'change-0001' });
  t.is(t.context.proposed.find(({ changeId }) => changeId === 'change-0001')?.author, 'ana');
  await client.close();
});

test('a refused change is returned with its code', async (t) => {
  const client = clientOf(t.context.url, ANA_KEY);
  t.deepEqual(await client.propose(change('does-not-fit')), {
    outcome: 'refused',
    code: 'invalid-change',
    message: 'It does not fit.',
  });
  await client.close();
});

test('the operators interface rejects the peer key, wrong keys and an empty key', async (t) => {
  for (const key of [PEER_KEY, 'wrong-key-0123456789', '']) {
    const client = clientOf(t.context.url, key);
    const error = await t.throwsAsync(client.show(), { instanceOf: OperatorCallError });
    t.regex(error.message, /does not accept the operator key/);
    t.false((error as OperatorCallError).mayHaveRun);
    await client.close();
  }
});

test('the interface between entry hosts rejects an operator key', async (t) => {
  // Guards against the exemption for the operators' routes matching other routes.
  for (const path of ['/trpc/fetchConfig', '/operator/../trpc/fetchConfig', '/operator', '/x']) {
    const { statusCode, body } = await request(`${t.context.url}${path}`, {
      headers: { authorization: `Bearer ${ANA_KEY}` },
    });
    await body.dump();
    t.is(statusCode, 401, path);
  }
});

test('a call to an unreachable host is reported as not run', async (t) => {
  const client = clientOf(`http://${UNUSED_ADDRESS}:${PORT}`, ANA_KEY);
  const error = await t.throwsAsync(client.propose(change('change-0002')), {
    instanceOf: OperatorCallError,
  });
  t.false((error as OperatorCallError).mayHaveRun);
  await client.close();
});

test('a call that times out is reported as possibly run', async (t) => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => sockets.add(socket));
  await new Promise<void>((resolve) => {
    server.listen(PORT, UNRESPONSIVE_ADDRESS, resolve);
  });
  const client = clientOf(`http://${UNRESPONSIVE_ADDRESS}:${PORT}`, ANA_KEY, 200);
  const error = await t.throwsAsync(client.propose(change('change-0003')), {
    instanceOf: OperatorCallError,
  });
  t.true((error as OperatorCallError).mayHaveRun);
  await client.close();
  sockets.forEach((socket) => socket.destroy());
  server.close();
});
