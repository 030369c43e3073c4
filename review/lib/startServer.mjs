import { performance } from 'node:perf_hooks';
import { Buffer } from 'node:buffer';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

const HEARTBEAT_MS = 1200;
const MAX_KEPT_BODY_BYTES = 65_536;

/**
 * Starts a stand-in of a sound server, which registers in the store.
 *
 * @param options.trouble writes the response of a server in trouble; returns false to respond soundly
 */
export async function startServer(options) {
  const { host, id, service, zone, store, arrivals, slots = 6 } = options;
  const { workMs = 40, trouble = () => false } = options;
  const born = Date.now();
  let sequence = 0;
  let running = 0;
  const loads = () => `${running},0,${slots}`;

  async function runOrder(request, response, headers) {
    await sleep(workMs);
    response.writeHead(200, { ...headers, 'content-type': 'text/plain' });
    response.end(`done ${request.headers['camphorbarrow-attempt-id']}`);
  }

  async function runStream(request, response, headers) {
    const { events, gapMs } = options.stream;
    const firstEvent = Number(request.headers['last-event-id'] ?? 0) + 1;
    await sleep(workMs);
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
    for (let event = firstEvent; event <= events && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: piece ${event}\n\n`);
      await sleep(gapMs);
    }
    response.end();
  }

  async function handle(request, response) {
    const { headers, url, socket } = request;
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    let bodyBytes = 0;
    for await (const chunk of request) {
      bodyBytes = Math.min(MAX_KEPT_BODY_BYTES, bodyBytes + chunk.length);
    }
    if (url === '/health') {
      response.writeHead(200, { 'camphorbarrow-instance-id': id });
      response.end();
      return;
    }
    const attempt = headers['camphorbarrow-attempt-id'];
    if (url.startsWith('/api/') || attempt === undefined) {
      response.writeHead(404).end();
      return;
    }
    if ((headers['camphorbarrow-expect-instance'] ?? id) !== id) {
      response.writeHead(421, { 'camphorbarrow-instance-id': id }).end();
      return;
    }
    const arrival = {
      attempt,
      server: id,
      atMs: performance.now(),
      bodyBytes,
      from: socket.remoteAddress,
    };
    arrivals.push(arrival);
    const answer = {
      'camphorbarrow-attempt-id': attempt,
      'camphorbarrow-server-seal': `${id}.${attempt}`,
      'camphorbarrow-server-load': loads(),
    };
    if (trouble(request, response, answer)) {
      arrival.isTrouble = true;
      return;
    }
    running += 1;
    try {
      if (options.stream === undefined) {
        await runOrder(request, response, answer);
      } else {
        await runStream(request, response, answer);
      }
    } finally {
      running -= 1;
      arrival.endedMs = performance.now();
    }
  }

  const server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.listen(0, host);
  await once(server, 'listening');
  const writeEntry = () => {
    sequence += 1;
    store.put(`servers/${id}`, {
      service,
      address: `${host}:${server.address().port}`,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence,
      born,
    });
  };
  writeEntry();
  const heartbeat = setInterval(writeEntry, HEARTBEAT_MS);
  return {
    id,
    close() {
      clearInterval(heartbeat);
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Writes small pieces to a response again and again, until the caller closes. */
export function writeWithoutEnd(socket, { head, piece, bytesPerWrite }) {
  const block = Buffer.from(piece.repeat(Math.ceil(bytesPerWrite / piece.length)));
  socket.write(head);
  const pump = () => {
    while (!socket.destroyed && socket.write(block)) {
      // Writes until the send buffer is full.
    }
    if (!socket.destroyed) {
      socket.once('drain', pump);
    }
  };
  pump();
}
