import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { once } from 'node:events';
import test from 'ava';
import { createSlowLink } from '../src/index.js';

// Seed 1007: the store closed its idle connection while the link still held the response.
test('a response passes a slow link whole, also when its sender has closed the connection', async (t) => {
  const body = 'x'.repeat(40_000);
  const server = createServer((_request, response) => {
    response.writeHead(200, { connection: 'close', 'content-length': body.length }).end(body);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const link = await createSlowLink(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  t.teardown(() => {
    link.close();
    server.close();
  });
  link.setShape({ bytesPerSecond: 40_000, delayMs: 0 });
  const startedAtMs = performance.now();
  const response = await fetch(`http://${link.address}/`);
  t.is((await response.text()).length, body.length);
  t.true(performance.now() - startedAtMs > 900);
});
