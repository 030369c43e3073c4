import { createServer } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { once } from 'node:events';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { createBodyMemory, createManualClock } from '@camphorbarrow/core';
import type { LogSink } from '@camphorbarrow/core';
import {
  InvalidMessageError,
  createConnectionPools,
  createFleetView,
  createStoreUpdateExchange,
} from '../../src/index.js';
import { blockEventLoop } from '../support/blockEventLoop.js';

const bodies = createBodyMemory(1_000_000);

const silentLog: LogSink = { info() {}, warn() {}, error() {} };

const view = createFleetView({
  clock: createManualClock(),
  log: silentLog,
  decode: () => ({ kind: 'unrelated' }),
  regionOfZone: () => undefined,
  coldAfterEvacuationMs: () => 0,
});

const update = {
  complete: true,
  items: [{ key: 'servers/a', value: '{}', modRevision: 3 }],
  removals: [{ key: 'servers/b', modRevision: 2 }],
  heard: [['a', 5]],
  era: 2,
  revision: 3,
  configuration: { key: 'config', value: '{}', modRevision: 1 },
  ageMs: 1,
  storeAwayMs: null,
};

/** @param chunkBytes size of the chunks that are sent every 100 ms; all at once by default */
async function fetchUpdate(
  text: string,
  onResponse?: () => void,
  chunkBytes = Infinity,
): Promise<unknown> {
  const server = createServer(async (_request, response) => {
    let rest = text;
    for (; rest.length > chunkBytes; rest = rest.slice(chunkBytes)) {
      response.write(rest.slice(0, chunkBytes));
      await sleep(100);
    }
    response.end(rest);
    if (onResponse !== undefined) {
      response.on('finish', onResponse);
    }
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const connections = createConnectionPools(1_000);
  const { port } = server.address() as AddressInfo;
  try {
    return await createStoreUpdateExchange(view, connections, bodies).fetch({
      host: '127.0.0.1',
      port,
    });
  } finally {
    connections.close();
    server.close();
  }
}

const nested = (levels: number): string => `${'['.repeat(levels)}${']'.repeat(levels)}`;
const numbers = [-1, 0.5, 1e300, '3', null, []];

// A revision that is too large ended the following of all changes; a value that is no text, when
// encoded again for the next host, failed all updates.
const malformed: Record<string, readonly object[]> = {
  'a revision': numbers.map((revision) => ({ revision })),
  'an era': numbers.map((era) => ({ era })),
  'a configuration': [7, [], {}, { key: 'config' }].map((configuration) => ({ configuration })),
  'an item': [
    ...[null, [], 7, {}].map((item) => ({ items: [...update.items, item] })),
    ...[null, 7, [], {}].flatMap((text) => [
      { items: [{ ...update.items[0], key: text }] },
      { items: [{ ...update.items[0], value: text }] },
    ]),
    ...numbers.map((modRevision) => ({ items: [{ ...update.items[0], modRevision }] })),
  ],
  'a removal': [
    ...[null, [], 7, {}, { key: 'a' }].map((removal) => ({ removals: [removal] })),
    ...numbers.map((modRevision) => ({ removals: [{ key: 'a', modRevision }] })),
  ],
  'a time': [
    ...[-1, '1', []].flatMap((age) => [{ ageMs: age }, { storeAwayMs: age }]),
    ...[null, 7, [], ['a'], ['a', -1], ['a', null], [7, 1]].map((heard) => ({ heard: [heard] })),
  ],
};

test('a well-formed store update of a peer is accepted', async (t) => {
  t.deepEqual(await fetchUpdate(JSON.stringify(update)), update);
});

// A host that cannot reach the store got nothing from others either while their links were slow.
test('a store update that takes two seconds to arrive is accepted', async (t) => {
  const items = [{ key: 'config', value: 'x'.repeat(80_000), modRevision: 3 }];
  const text = JSON.stringify({ ...update, items });
  t.like(await fetchUpdate(text, undefined, 4_000), { items });
});

for (const [subject, changes] of Object.entries(malformed)) {
  test(`a store update with ${subject} that is malformed is rejected`, async (t) => {
    for (const change of changes) {
      await t.throwsAsync(
        fetchUpdate(JSON.stringify({ ...update, ...change })),
        { instanceOf: InvalidMessageError },
        JSON.stringify(change),
      );
    }
  });
}

test('a store update that is nested, an array, a number or null is rejected', async (t) => {
  for (const text of [nested(4_000), nested(100_000), '[]', '7', 'null']) {
    await t.throwsAsync(fetchUpdate(text), { instanceOf: InvalidMessageError });
  }
});

test('a store update of an earlier build, which knows no eras, is of the first one', async (t) => {
  const earlier = { ...update, era: undefined, configuration: undefined };
  t.deepEqual(await fetchUpdate(JSON.stringify(earlier)), {
    ...update,
    era: 0,
    configuration: null,
  });
});

test.serial('a store update that arrives while the process stands still is used', async (t) => {
  t.deepEqual(await fetchUpdate(JSON.stringify(update), () => blockEventLoop(1_500)), update);
});

test.serial(
  'a store update is not requested on a connection that closed during a pause',
  async (t) => {
    const sockets: Socket[] = [];
    const body = JSON.stringify(update);
    const server = createTcpServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', () =>
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`),
      );
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    const connections = createConnectionPools(1_000);
    t.teardown(() => {
      connections.close();
      server.close();
    });
    const peer = { host: '127.0.0.1', port: (server.address() as AddressInfo).port };
    const { fetch } = createStoreUpdateExchange(view, connections, bodies);
    await fetch(peer);
    const pending = sleep(50).then(() => fetch(peer));
    await nextTurn();
    sockets.forEach((socket) => socket.end());
    blockEventLoop(100);
    t.deepEqual(await pending, update);
    t.is(sockets.length, 2);
  },
);
