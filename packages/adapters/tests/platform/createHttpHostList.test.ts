import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { once } from 'node:events';
import test from 'ava';
import type { LogSink } from '@camphorbarrow/core';
import { createHttpHostList } from '../../src/platform/createHttpHostList.js';

const entry = {
  serverId: 'e1',
  kind: 'engine',
  baseUrl: 'http://127.0.0.1:8000',
  region: 'norte',
  availabilityZone: 'norte-a',
  models: ['m'],
  state: 'live',
};

const nested = (levels: number): string => `${'['.repeat(levels)}${']'.repeat(levels)}`;

const oddEntries = [
  ...['i-\n2', 'i-\u0000', '\u65e5', '', 'i'.repeat(201), 7].map((serverId) => ({
    ...entry,
    serverId,
  })),
  ...[
    ...['http://127.0.0.1:70000', 'http://a b:80', 'http://999.1.1.1:80', 'http://[:::1]:80'],
    ...['127.0.0.1:80', 'ftp://127.0.0.1', 'file:///etc', 'http://', '', null, 7],
  ].map((baseUrl) => ({ ...entry, baseUrl })),
  ...['resting', null].map((state) => ({ ...entry, state })),
  { ...entry, models: 'm' },
  ...[null, [], 'text', 7, JSON.parse(nested(4_000)) as unknown],
];

// One such entry failed the whole list, so that no change of any server was followed.
test('malformed entries of the host list are ignored and logged once, and the others hold', async (t) => {
  const hosts = [...oddEntries, entry];
  const server = createServer((_request, response) =>
    response.end(
      `{"hosts":[${nested(100_000)},${hosts.map((host) => JSON.stringify(host)).join()}]}`,
    ),
  );
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const logged: unknown[] = [];
  const log: LogSink = { info() {}, warn: (_event, fields) => logged.push(fields), error() {} };
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const list = createHttpHostList({ url: `http://127.0.0.1:${port}`, timeoutMs: 1_000, log });
  t.teardown(() => list.close());
  for (let round = 0; round < 2; round += 1) {
    t.deepEqual(
      (await list.read()).map(({ serverId, baseUrl }) => [serverId, baseUrl] as unknown),
      [[entry.serverId, entry.baseUrl]],
    );
    t.is(logged.length, oddEntries.length + 1);
  }
});
