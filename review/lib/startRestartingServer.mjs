import { performance } from 'node:perf_hooks';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

const HEARTBEAT_MS = 1_200;
const WINDOW_MS = 1_000;

/**
 * Starts a stand-in of a sound model server that can crash and start again under its id, at the same
 * address. It is cold for a time after a start, and says so in its entry and its health responses.
 *
 * @param options.crashPerSecond requests in one second at which it crashes while it is cold
 * @param options.isDeadly whether a request crashes the server that begins to run it
 * @param options.onCrash called after such a crash
 */
export async function startRestartingServer(options) {
  const { host, id, service, zone, store, arrivals, record } = options;
  const { stream, coldMs = 0, crashPerSecond = Infinity, slots = 64 } = options;
  const { isDeadly = () => false, onCrash = () => undefined } = options;
  let server;
  let port = 0;
  let heartbeat;
  let born;
  let sequence = 0;
  let coldUntilMs = 0;
  const sockets = new Set();

  const coldRemainingMs = () => Math.max(0, Math.round(coldUntilMs - performance.now()));

  function writeEntry() {
    sequence += 1;
    store.put(`servers/${id}`, {
      service,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: coldRemainingMs(),
      sequence,
      born,
    });
  }

  function crash(reason) {
    clearInterval(heartbeat);
    server.close();
    sockets.forEach((socket) => socket.resetAndDestroy());
    record(`server ${id} crashed: ${reason}`);
  }

  async function handle(request, response) {
    const { headers, url, socket } = request;
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.resume();
    await once(request, 'end');
    if (url === '/health') {
      const cold = { 'camphorbarrow-cold-remaining': String(coldRemainingMs()) };
      response.writeHead(200, { 'camphorbarrow-instance-id': id, ...cold }).end();
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
    const isCold = coldRemainingMs() > 0;
    const atMs = performance.now();
    arrivals.push({ attempt, server: id, atMs, isCold, from: socket.remoteAddress });
    if (isDeadly(request)) {
      arrivals.at(-1).isDeadly = true;
      crash(`began to run the deadly request ${attempt}`);
      onCrash();
      return;
    }
    const latest = arrivals.filter((each) => each.server === id && each.atMs > atMs - WINDOW_MS);
    if (isCold && latest.length >= crashPerSecond) {
      crash(`${latest.length} requests in a second while it was cold`);
      return;
    }
    await sleep(40);
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'camphorbarrow-attempt-id': attempt,
      'camphorbarrow-server-seal': `${id}.${attempt}`,
    });
    for (let event = 1; event <= stream.events && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: piece ${event}\n\n`);
      await sleep(stream.gapMs);
    }
    response.end();
  }

  async function start(isCold) {
    born = Date.now();
    sequence = 0;
    coldUntilMs = isCold ? performance.now() + coldMs : 0;
    server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
      handle(request, response).catch(() => response.destroy());
    });
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
    });
    server.listen(port, host);
    await once(server, 'listening');
    ({ port } = server.address());
    writeEntry();
    heartbeat = setInterval(writeEntry, HEARTBEAT_MS);
    record(`server ${id} started${isCold ? `, cold for ${coldMs} ms` : ''}`);
  }

  await start(false);
  return {
    id,
    start,
    crash,
    close() {
      clearInterval(heartbeat);
      server.closeAllConnections();
      server.close();
    },
  };
}
