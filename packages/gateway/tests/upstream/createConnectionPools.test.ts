import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createBodyMemory, createDispatchQueue } from '@camphorbarrow/core';
import { createConnectionPools, readFullBody, sendUpstream } from '../../src/index.js';
import type { SendResult } from '../../src/index.js';
import { blockEventLoop } from '../support/blockEventLoop.js';

const never = new AbortController().signal;

interface TestPool {
  /** Connections of the server, oldest first. */
  readonly connections: readonly Socket[];
  /** Ids of the requests that the server received. */
  readonly received: readonly string[];
  send(id: string): Promise<SendResult>;
}

/** Starts a server and a pool with idle connections to it. */
async function startPool(t: ExecutionContext, idleCount: number): Promise<TestPool> {
  const connections: Socket[] = [];
  const received: string[] = [];
  const server = createServer((socket) => {
    connections.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      received.push(/^Id: (\S+)/m.exec(data.toString())?.[1] ?? '');
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    });
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const pools = createConnectionPools(5_000);
  t.teardown(() => {
    pools.close();
    server.close();
  });
  const send = (id: string): Promise<SendResult> =>
    sendUpstream({
      agent: pools.agentFor('server'),
      endpoint: { host: '127.0.0.1', port },
      method: 'POST',
      path: '/',
      headers: ['Host', 'a.example', 'Id', id, 'Content-Length', '0'],
      body: Buffer.alloc(0),
      connectTimeoutMs: 2_000,
      responseTimeoutMs: undefined,
      signal: never,
    });
  await Promise.all(
    Array.from({ length: idleCount }, async (_, index) => {
      const sent = await send(`first-${index}`);
      if (sent.kind === 'response') {
        await readFullBody(sent.response, {
          bodies: createBodyMemory(10),
          maxBytes: 10,
          signal: never,
        });
      }
    }),
  );
  await sleep(20);
  return { connections, received, send };
}

/** Resolves in the poll phase, with a connection whose other end has written a byte. */
async function openCaller(t: ExecutionContext): Promise<{ caller: Socket; receiver: Socket }> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [receiver] = (await once(server, 'connection')) as [Socket];
  t.teardown(() => {
    caller.destroy();
    receiver.destroy();
    server.close();
  });
  return { caller, receiver };
}

// An order was written to a connection that its server had closed, and its outcome was unknown.
for (const idleCount of [1, 2, 5]) {
  test.serial(
    `a request read after a pause uses none of ${idleCount} connections closed meanwhile`,
    async (t) => {
      const { connections, received, send } = await startPool(t, idleCount);
      t.is(connections.length, idleCount);
      const { caller, receiver } = await openCaller(t);
      const sent = new Promise<SendResult>((resolve) => {
        receiver.once('data', () => {
          void createDispatchQueue()
            .wait(never)
            .then(() => resolve(send('order')));
        });
      });
      await nextTurn();
      caller.write('x');
      connections.forEach((socket) => socket.end());
      blockEventLoop(20);
      t.like(await sent, { kind: 'response' });
      t.is(received.filter((id) => id === 'order').length, 1);
    },
  );

  test.serial(
    `a request uses none of ${idleCount} connections that close before the poll that it waits for`,
    async (t) => {
      const { connections, received, send } = await startPool(t, idleCount);
      const { caller, receiver } = await openCaller(t);
      const sent = new Promise<SendResult>((resolve) => {
        receiver.once('data', () => {
          setImmediate(() => connections.forEach((socket) => socket.end()));
          void createDispatchQueue()
            .wait(never)
            .then(() => resolve(send('order')));
        });
      });
      caller.write('x');
      t.like(await sent, { kind: 'response' });
      t.is(received.filter((id) => id === 'order').length, 1);
    },
  );
}

test.serial('a request after a pause uses a connection that is left', async (t) => {
  const { connections, received, send } = await startPool(t, 3);
  await nextTurn();
  connections.slice(1).forEach((socket) => socket.end());
  blockEventLoop(20);
  await createDispatchQueue().wait(never);
  t.like(await send('order'), { kind: 'response' });
  t.is(received.at(-1), 'order');
  t.is(connections.length, 3);
});
