import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { once } from 'node:events';
import test from 'ava';
import { createConnectionPools, readFullBody, sendUpstream } from '../../src/index.js';

interface Peer {
  readonly port: number;
  close(): void;
}

/** A TCP server that answers each request as the test says. */
async function startPeer(answer: (socket: Socket) => void): Promise<Peer> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { port: (server.address() as AddressInfo).port, close: () => server.close() };
}

function send(port: number, answerTimeoutMs?: number) {
  const connections = createConnectionPools(1_000);
  return sendUpstream({
    agent: connections.agentFor('peer'),
    endpoint: { host: '127.0.0.1', port },
    method: 'GET',
    path: '/',
    headers: ['Host', 'a.example'],
    body: Buffer.alloc(0),
    connectTimeoutMs: 500,
    responseTimeoutMs: answerTimeoutMs,
    signal: new AbortController().signal,
  });
}

test('a refused connection is known not to have carried the request', async (t) => {
  const peer = await startPeer(() => undefined);
  peer.close();
  const sent = await send(peer.port);
  t.like(sent, { kind: 'failed', failure: 'unreachable', mayHaveRun: false });
});

test('a connection that is closed without an answer may have run the request', async (t) => {
  const peer = await startPeer((socket) => socket.destroy());
  t.teardown(peer.close);
  t.like(await send(peer.port), { kind: 'failed', failure: 'broken', mayHaveRun: true });
});

test('silence ends after its time and may have run the request', async (t) => {
  const peer = await startPeer(() => undefined);
  t.teardown(peer.close);
  // Longer than the connect time-out, so that a busy machine cannot end it before the connection.
  t.like(await send(peer.port, 1_000), { kind: 'failed', failure: 'silent', mayHaveRun: true });
});

test('an answer without a length that is reset is not whole', async (t) => {
  const peer = await startPeer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf of the', () => {
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
  });
  t.teardown(peer.close);
  const sent = await send(peer.port);
  if (sent.kind !== 'answer') {
    t.fail(sent.cause);
    return;
  }
  t.is(await readFullBody(sent.response, 1_000, new AbortController().signal), undefined);
});

test('a reset that arrives together with the last bytes is not taken for an end', async (t) => {
  const peer = await startPeer((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
    setTimeout(() => {
      // One read meets both, and reports an end of the stream after a short read.
      socket.write(' of the');
      socket.resetAndDestroy();
    }, 50);
  });
  t.teardown(peer.close);
  const sent = await send(peer.port);
  if (sent.kind !== 'answer') {
    t.fail(sent.cause);
    return;
  }
  t.is(await readFullBody(sent.response, 1_000, new AbortController().signal), undefined);
});

test('an answer without a length that ends with its connection is whole', async (t) => {
  const peer = await startPeer((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nall of it'));
  t.teardown(peer.close);
  const sent = await send(peer.port);
  if (sent.kind !== 'answer') {
    t.fail(sent.cause);
    return;
  }
  const body = await readFullBody(sent.response, 1_000, new AbortController().signal);
  t.is(body?.toString(), 'all of it');
});
