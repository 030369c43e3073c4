import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import { createFaultyLink } from '../src/index.js';

async function startEcho() {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined).on('data', (chunk) => socket.write(chunk));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const link = await createFaultyLink(address);
  const [host = '', port = ''] = link.address.split(':');
  const client = connect({ host, port: Number(port) });
  client.on('error', () => undefined);
  await once(client, 'connect');
  return {
    link,
    client,
    sockets,
    close() {
      client.destroy();
      link.close();
      server.close();
    },
  };
}

const receiveWithin = async (client: Socket, durationMs: number): Promise<string | undefined> =>
  Promise.race([
    once(client, 'data').then(([chunk]) => String(chunk)),
    new Promise<undefined>((resolve) => {
      setTimeout(() => resolve(undefined), durationMs);
    }),
  ]);

test('a link forwards bytes, delays them while delayed, and drops them while silent', async (t) => {
  const { link, client, close } = await startEcho();
  client.write('a');
  t.is(await receiveWithin(client, 1_000), 'a');
  link.setFault('delayed');
  client.write('b');
  t.is(await receiveWithin(client, 100), undefined);
  t.is(await receiveWithin(client, 1_000), 'b');
  link.setFault('silent');
  client.write('c');
  t.is(await receiveWithin(client, 200), undefined);
  close();
});

// Seed 1 on 61d1b867: the last chunk of a response overtook its events when the delay ended.
test('bytes after a delay do not overtake those that are still delayed', async (t) => {
  const { link, client, close } = await startEcho();
  link.setFault('delayed');
  client.write('a');
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  link.setFault('none');
  client.write('b');
  const received: string[] = [];
  client.on('data', (chunk) => received.push(String(chunk)));
  await new Promise((resolve) => {
    setTimeout(resolve, 500);
  });
  t.is(received.join(''), 'ab');
  close();
});

test('a one-way link delivers requests and drops responses', async (t) => {
  const { link, client, sockets, close } = await startEcho();
  link.setFault('one-way');
  client.write('a');
  t.is(await receiveWithin(client, 200), undefined);
  t.is(sockets[0]?.bytesRead, 1);
  close();
});

// Seeds 4, 5, 14, 25, 33 and 34 of an earlier fault plan: when a server reset its connection, the
// link closed the other one normally, so a truncated response without a content length looked
// complete to a host.
test('a reset is passed on as a reset', async (t) => {
  const { client, sockets, close } = await startEcho();
  client.write('a');
  await receiveWithin(client, 1_000);
  const failed = new Promise<Error>((resolve) => {
    client.once('error', resolve);
  });
  sockets[0]?.resetAndDestroy();
  t.like(await failed, { code: 'ECONNRESET' });
  close();
});
