import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createConnectionMemory } from '../../src/index.js';
import type { ConnectionMemory } from '../../src/index.js';

const GET = 'GET /a/path/of/some/length HTTP/1.1\r\nHost: shop.example\r\nAccept: */*\r\n\r\n';
const RESPONSE_END = 'ok';

interface Probe {
  readonly memory: ConnectionMemory;
  closeCount(): number;
  requestCount(): number;
  connect(): Socket;
}

/** Starts a server that responds to requests once their bodies have arrived. */
async function startProbe(
  t: ExecutionContext,
  maxBytes: number,
  countsInput = true,
  responseText = RESPONSE_END,
): Promise<Probe> {
  const memory = createConnectionMemory(maxBytes);
  let closeCount = 0;
  let requestCount = 0;
  const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    requestCount += 1;
    if (memory.isExceededBy(request)) {
      response.writeHead(503).end();
      return;
    }
    request
      .on('error', () => undefined)
      .on('end', () => response.end(responseText))
      .resume();
  });
  memory.apply(server, countsInput, () => {
    closeCount += 1;
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return {
    memory,
    closeCount: () => closeCount,
    requestCount: () => requestCount,
    connect() {
      const socket = connect({ port, host: '127.0.0.1', noDelay: true });
      socket.on('error', () => undefined).setEncoding('latin1');
      t.teardown(() => socket.destroy());
      return socket;
    },
  };
}

/** Resolves when a response has ended; rejects if the connection closes before. */
function waitForResponse(socket: Socket): Promise<void> {
  return new Promise((resolve, reject) => {
    const onClose = (): void => reject(new Error('The connection was closed.'));
    let text = '';
    function onData(data: string): void {
      text += data;
      // The body is in a chunk of its own if the response names no length.
      if (/\r\n\r\n(?:2\r\n)?ok/.test(text)) {
        socket.off('data', onData).off('close', onClose);
        resolve();
      }
    }
    socket.on('data', onData).once('close', onClose);
  });
}

const waitUntil = async (condition: () => boolean): Promise<void> => {
  while (!condition()) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
};

const body = 'x'.repeat(500);
const requests: Readonly<Record<string, readonly string[]>> = {
  'a request without a body': [GET],
  'a request in two pieces': [GET.slice(0, 40), GET.slice(40)],
  'a request with a body': [`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\n${body}`],
  'a request whose body comes apart': [
    'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\n',
    body.slice(0, 200),
    body.slice(200),
  ],
  'a request whose body comes in chunks': [
    `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1f4\r\n${body}`,
    '\r\n0\r\n\r\n',
  ],
  'a request with spaces around a value': [
    `POST / HTTP/1.1\r\nHost:   a   \r\nContent-Length: 500\r\n\r\n${body}`,
  ],
};

Object.entries(requests).forEach(([name, pieces]) => {
  test(`a connection holds nothing after ${name}, 1,000 times`, async (t) => {
    const { memory, connect: open } = await startProbe(t, 1_000_000);
    const socket = open();
    const countAfter: number[] = [];
    for (let index = 0; index < 1_000; index += 1) {
      const response = waitForResponse(socket);
      for (const piece of pieces) {
        await new Promise((resolve) => {
          socket.write(piece, resolve);
        });
      }
      await response;
      // The response reaches the client before it is closed here.
      const endMs = performance.now() + 5_000;
      await waitUntil(() => memory.heldBytes() === 0 || performance.now() > endMs);
      countAfter.push(memory.heldBytes());
      if (memory.heldBytes() > 0) {
        break;
      }
    }
    t.deepEqual([...new Set(countAfter)], [0]);
    t.is(countAfter.length, 1_000);
  });
});

test('the start of a head behind a message is held', async (t) => {
  const { memory, connect: open } = await startProbe(t, 1_000_000);
  const socket = open();
  const response = waitForResponse(socket);
  socket.write(`${GET}GET /${'a'.repeat(1_000)}`);
  await response;
  await waitUntil(() => memory.heldBytes() < 12_288 + 1_000);
  t.true(memory.heldBytes() >= 12_000, String(memory.heldBytes()));
  socket.write(` HTTP/1.1\r\nHost: a\r\n\r\n`);
  await waitForResponse(socket);
  await waitUntil(() => memory.heldBytes() === 0);
  t.is(memory.heldBytes(), 0);
});

// Before parsing, the body in the same read as its head would count as the head of another request.
test('a body of the size of a read is kept beside requests that nearly fill the memory', async (t) => {
  const maxBytes = 200_000;
  const { memory, closeCount, connect: open } = await startProbe(t, maxBytes);
  Array.from({ length: 10 }, () => open()).forEach((socket) =>
    socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n'),
  );
  await waitUntil(() => memory.heldBytes() > 10 * 12_288);
  const socket = open();
  const response = waitForResponse(socket);
  socket.write(`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65000\r\n\r\n${'x'.repeat(65_000)}`);
  await t.notThrowsAsync(response);
  t.is(closeCount(), 0);
});

test('where input does not count, requests are held and starts of heads are not', async (t) => {
  const { memory, connect: open } = await startProbe(t, 1_000_000, false);
  const socket = open();
  const response = waitForResponse(socket);
  socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n');
  await waitUntil(() => memory.heldBytes() > 0);
  t.true(memory.heldBytes() > 12_288);
  socket.write(`12345GET /${'a'.repeat(1_000)}`);
  await response;
  const endMs = performance.now() + 5_000;
  await waitUntil(() => memory.heldBytes() === 0 || performance.now() > endMs);
  t.is(memory.heldBytes(), 0);
});

test('a head without end is closed before it exceeds the memory', async (t) => {
  const { memory, closeCount, connect: open } = await startProbe(t, 200_000);
  const socket = open();
  const closed = once(socket, 'close');
  // Node.js itself rejects a head of 16 KiB.
  Array.from({ length: 20 }, () => open()).forEach((each) =>
    each.write(`GET /${'a'.repeat(15_000)}`),
  );
  socket.write(`GET /${'a'.repeat(15_000)}`);
  await waitUntil(() => closeCount() >= 20);
  t.true(memory.heldBytes() <= 200_000);
  socket.destroy();
  await closed;
});

// The parser went on with hundreds of requests of the same read, which filled the heap of the process.
test('requests that arrive with the one at which their connection is closed are not parsed', async (t) => {
  const { memory, closeCount, requestCount, connect: open } = await startProbe(t, 60_000);
  const socket = open();
  const closed = once(socket, 'close');
  socket.write(GET.repeat(600));
  await closed;
  t.is(closeCount(), 1);
  t.true(requestCount() < 10, `${requestCount()} requests`);
  t.is(memory.heldBytes(), 0);
});

test('requests that are sent ahead in one write are all answered, also if the responses are read late', async (t) => {
  const { connect: open } = await startProbe(t, 10_000_000, true, 'x'.repeat(100_000));
  const socket = open();
  const request = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500\r\n\r\n${body}`;
  socket.write(request.repeat(200));
  await new Promise((resolve) => {
    setTimeout(resolve, 300);
  });
  let text = '';
  socket.on('data', (data: string) => {
    text += data;
  });
  await waitUntil(() => text.length >= 200 * 100_000 && text.split('HTTP/1.1 200').length === 201);
  t.pass();
});

// An order goes on without its caller, so that closing its connection frees nothing yet.
test('a request that is handled is held after its connection was closed, until its end', async (t) => {
  const memory = createConnectionMemory(1_000_000);
  const releases: (() => void)[] = [];
  const server = createServer((request) => {
    const handled = new Promise<void>((resolve) => {
      releases.push(resolve);
    });
    memory.holdWhile(request, handled);
  });
  memory.apply(server, true, () => undefined);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const connected = once(server, 'connection') as Promise<[Socket]>;
  const socket = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1' });
  const [serverSocket] = await connected;
  const closed = once(serverSocket, 'close');
  socket.write(GET.repeat(3));
  await waitUntil(() => releases.length === 3);
  socket.destroy();
  await closed;
  t.true(memory.heldBytes() >= 3 * 12_288, String(memory.heldBytes()));
  releases.forEach((release) => release());
  const endMs = performance.now() + 5_000;
  await waitUntil(() => memory.heldBytes() === 0 || performance.now() > endMs);
  t.is(memory.heldBytes(), 0);
});
