import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createDisconnectSignal } from '../../src/dispatch/createDisconnectSignal.js';
import { createDispatchQueue } from '../../src/dispatch/createDispatchQueue.js';

const CALLERS = 20;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

async function startServer(
  t: ExecutionContext,
  handle: (response: ServerResponse) => void,
): Promise<{ connectCaller: () => Promise<Socket>; connections: readonly Socket[] }> {
  const connections: Socket[] = [];
  const server = createServer((_request, response) => handle(response)).listen(0, '127.0.0.1');
  server.on('connection', (connection: Socket) => connections.push(connection));
  await once(server, 'listening');
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return {
    connections,
    async connectCaller() {
      const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
      caller.on('error', () => undefined);
      t.teardown(() => caller.destroy());
      await once(caller, 'connect');
      return caller;
    },
  };
}

(['end', 'destroy', 'resetAndDestroy'] as const).forEach((leave) => {
  test(`callers that left by ${leave} before they were read are noticed in the dispatch queue`, async (t) => {
    const queue = createDispatchQueue();
    const aborted: boolean[] = [];
    const { connectCaller } = await startServer(t, (response) => {
      const signal = createDisconnectSignal(response);
      void queue.wait(signal).then(() => aborted.push(signal.aborted));
    });
    const callers = await Promise.all(Array.from({ length: CALLERS }, connectCaller));
    await sleep(50);
    callers.forEach((caller) => caller.write(REQUEST));
    callers.forEach((caller) => caller[leave]());
    while (aborted.length < CALLERS) {
      await sleep(10);
    }
    t.deepEqual(aborted, Array<boolean>(CALLERS).fill(true));
  });
});

test('a client that left before the signal is created is noticed', async (t) => {
  const responded = new Promise<ServerResponse>((resolve) => {
    void startServer(t, resolve).then(async ({ connectCaller }) => {
      const caller = await connectCaller();
      caller.write(REQUEST);
      await sleep(20);
      caller.resetAndDestroy();
    });
  });
  const response = await responded;
  await sleep(100);
  t.true(createDisconnectSignal(response).aborted);
});

test('a complete response is no disconnect, and leaves no listeners on its connection', async (t) => {
  const signals: AbortSignal[] = [];
  const { connectCaller, connections } = await startServer(t, (response) => {
    signals.push(createDisconnectSignal(response));
    response.end('ok');
  });
  const caller = await connectCaller();
  await sleep(20);
  const initialListeners = connections[0]?.listenerCount('end');
  for (let count = 0; count < 3; count += 1) {
    const received = once(caller, 'data');
    caller.write(REQUEST);
    await received;
    await sleep(20);
  }
  t.is(connections[0]?.listenerCount('end'), initialListeners);
  caller.destroy();
  await sleep(50);
  t.deepEqual(
    signals.map(({ aborted }) => aborted),
    [false, false, false],
  );
});
