import { once } from 'node:events';
import { connect } from 'node:net';
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import fastify from 'fastify';
import { request } from 'undici';
import { createGracefulClose } from '../../src/http/createGracefulClose.js';
import { blockFor } from '../support/blockFor.js';

test.serial(
  'a request in flight completes, and a connection without any request does not delay the close',
  async (t) => {
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
  },
);

test.serial('a request that arrived before the close is answered', async (t) => {
  const app = fastify({ forceCloseConnections: true });
  const close = createGracefulClose(app);
  app.get('/', async () => {
    await delay(50);
    return 'complete';
  });
  const url = new URL(await app.listen({ host: '127.0.0.1', port: 0 }));
  const caller = connect({ host: url.hostname, port: Number(url.port) });
  caller.on('error', () => undefined);
  let text = '';
  caller.setEncoding('utf8').on('data', (data: string) => {
    text += data;
  });
  caller.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
  await once(caller, 'data');
  await nextTurn();
  caller.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
  blockFor(100);
  const ended = once(caller, 'close');
  await close();
  await ended;
  t.is(text.split('complete').length - 1, 2);
});

test.serial('a close waits for a response that its caller reads slowly', async (t) => {
  const bodyBytes = 33_554_432;
  const app = fastify({ forceCloseConnections: true });
  const close = createGracefulClose(app);
  app.get('/', async () => 'x'.repeat(bodyBytes));
  const url = await app.listen({ host: '127.0.0.1', port: 0 });
  const { body } = await request(url);
  const closed = close();
  await delay(200);
  t.is((await body.text()).length, bodyBytes);
  await closed;
});
