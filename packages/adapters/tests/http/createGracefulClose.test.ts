import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import fastify from 'fastify';
import { request } from 'undici';
import { createGracefulClose } from '../../src/http/createGracefulClose.js';

test('a request in flight completes, and a connection without any request does not delay the close', async (t) => {
  const app = fastify({ forceCloseConnections: true });
  const close = createGracefulClose(app);
  app.get('/slow', async () => {
    await delay(300);
    return 'complete';
  });
  const url = new URL(await app.listen({ host: '127.0.0.1', port: 0 }));
  const unused = connect({ host: url.hostname, port: Number(url.port) });
  await once(unused, 'connect');
  const ended = once(unused.resume(), 'close');
  const response = request(`${url.origin}/slow`).then(({ body }) => body.text());
  await delay(100);
  await close();
  t.is(await response, 'complete');
  await ended;
});
