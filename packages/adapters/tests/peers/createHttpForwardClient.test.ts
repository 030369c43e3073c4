import { randomInt } from 'node:crypto';
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import {
  createSystemClock,
  AttemptBrokenError,
  ConnectFailedError,
  OverloadedError,
  ProgressTimeoutError,
  RequestError,
  asId,
  fleetDefaultsSchema,
} from '@camphorbarrow/core';
import type {
  RequestContext,
  ForwardAnswer,
  ForwardAttempt,
  InferenceAnswer,
} from '@camphorbarrow/core';
import type { ForwardApi } from '../../src/peers/ForwardApi.js';
import { createHttpForwardClient } from '../../src/peers/createHttpForwardClient.js';
import { createPeerListener } from '../../src/peers/createPeerListener.js';
import type { PeerListener } from '../../src/peers/createPeerListener.js';
import { createFakePeerApi } from './createFakePeerApi.js';

const PEER_KEY = 'test-peer-key-0123456789';
const PORT = 9_080;
const CHUNK = '{"choices":[{"finish_reason":null}]}';

const requestContext: RequestContext = {
  requestId: asId('request-1'),
  customerId: asId('workshop'),
  homeRegionId: undefined,
  rank: 'urgent',
  deadlineMs: 1_000,
  idempotencyKey: undefined,
  path: [asId('sur-1')],
  receivedAtMs: 0,
  settings: fleetDefaultsSchema.parse({}),
  settingsForRank: () => fleetDefaultsSchema.parse({}),
};

function attemptAt(peerUrl: string, changes: Partial<ForwardAttempt> = {}): ForwardAttempt {
  return {
    peerUrl,
    regionId: asId('costa'),
    route: 'chat/completions',
    body: '{"model":"layout-large"}',
    requestId: asId('request-1'),
    customerId: asId('workshop'),
    rank: 'urgent',
    path: [asId('sur-1')],
    remainingMs: 20_000,
    connectTimeoutMs: 500,
    progressTimeoutMs: 5_000,
    streamed: true,
    ...changes,
  };
}

interface Peer extends PeerListener {
  readonly url: string;
}

async function startPeer(infer: ForwardApi['infer']): Promise<Peer> {
  const address = `127.${randomInt(10, 250)}.${randomInt(0, 250)}.${randomInt(1, 250)}`;
  const unused = (): never => {
    throw new RequestError('not used');
  };
  const listener = await createPeerListener({
    clock: createSystemClock(),
    address,
    port: PORT,
    peerKey: PEER_KEY,
    api: createFakePeerApi(unused),
    operators: {
      keys: {},
      api: { currentConfig: unused, propose: unused, status: unused, burnReport: unused },
    },
    forwardApi: {
      hostId: asId('costa-1'),
      maxBodyBytes: 1_000_000,
      readForwardedRequest: () => requestContext,
      infer,
    },
  });
  return { url: `http://${address}:${PORT}`, close: listener.close };
}

async function startPlainServer(
  respond: (response: ServerResponse) => void,
): Promise<{ readonly server: Server; readonly url: string }> {
  const server = createServer((_request, response) => respond(response));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` };
}

async function* streamOf(events: readonly string[], error?: Error): AsyncGenerator<string, void> {
  yield* events;
  if (error !== undefined) {
    throw error;
  }
}

const stream = (events: AsyncIterable<string>): InferenceAnswer => ({ kind: 'stream', events });

async function collect(events: AsyncIterable<string>): Promise<string[]> {
  const received: string[] = [];
  for await (const data of events) {
    received.push(data);
  }
  return received;
}

const eventsOf = (response: ForwardAnswer): AsyncIterable<string> =>
  response.kind === 'stream' ? response.events : streamOf([]);

async function* endlessStream(signal: AbortSignal): AsyncGenerator<string, void> {
  yield CHUNK;
  await delay(60_000, undefined, { signal });
}

const noSignal = (): AbortSignal => new AbortController().signal;
const client = createHttpForwardClient({ peerKey: PEER_KEY });

test.after.always(() => client.close());

test('a stream passes through event by event', async (t) => {
  let body = '';
  const peer = await startPeer(async (_context, _route, received) => {
    body = received;
    return stream(streamOf([CHUNK, 'with "quotes"', '[DONE]']));
  });
  const response = await client.start(attemptAt(peer.url), noSignal());
  t.is(response.kind, 'stream');
  const events = await collect(eventsOf(response));
  t.deepEqual(events, [CHUNK, 'with "quotes"', '[DONE]']);
  t.is(body, '{"model":"layout-large"}');
  await peer.close();
});

test('a plain error response of the engine is not taken for an error response of the peer', async (t) => {
  const body = '{"error":{"code":"bad","outcome":"not-run"}}';
  const peer = await startPeer(async () => ({ kind: 'plain', statusCode: 400, body }));
  const response = await client.start(attemptAt(peer.url, { streamed: false }), noSignal());
  t.deepEqual(response, { kind: 'plain', statusCode: 400, body });
  await peer.close();
});

test('an error response keeps its code, outcome and details', async (t) => {
  const peer = await startPeer(async () => {
    throw new OverloadedError('full', { props: { retryAfterMs: 700, details: { queue: 3 } } });
  });
  const response = await client.start(attemptAt(peer.url), noSignal());
  t.like(response, {
    kind: 'refused',
    statusCode: 429,
    code: 'overloaded',
    outcome: 'not-run',
    retryAfterMs: 700,
    details: { queue: 3 },
  });
  await peer.close();
});

test('a request that waits long before it is rejected does not time out', async (t) => {
  const peer = await startPeer(async () => {
    await delay(3_000);
    throw new OverloadedError('full');
  });
  const attempt = attemptAt(peer.url, { progressTimeoutMs: 2_500 });
  const response = await client.start(attempt, noSignal());
  t.like(response, { kind: 'refused', code: 'overloaded', outcome: 'not-run' });
  await peer.close();
});

test('a process without the peer key is rejected before its request is read', async (t) => {
  const peer = await startPeer(async () => t.fail('served') as never);
  const clientWithWrongKey = createHttpForwardClient({ peerKey: 'another-key-0123456789' });
  const response = await clientWithWrongKey.start(attemptAt(peer.url), noSignal());
  t.like(response, { kind: 'refused', code: 'unauthenticated', outcome: 'not-run' });
  await peer.close();
});

test('a stream that fails at the peer throws instead of ending as if it were complete', async (t) => {
  const failure = new RequestError('broken', {
    props: { code: 'backend-failed', outcome: 'unknown' },
  });
  const peer = await startPeer(async () => stream(streamOf([CHUNK], failure)));
  const response = await client.start(attemptAt(peer.url), noSignal());
  const error = await t.throwsAsync(collect(eventsOf(response)), {
    instanceOf: RequestError,
  });
  t.like(error, { code: 'backend-failed', outcome: 'unknown' });
  await peer.close();
});

test('a stream throws when its connection breaks', async (t) => {
  const { server, url } = await startPlainServer((response) => {
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-camphorbarrow-served-by': 'costa-1',
    });
    response.write(`data: ${CHUNK}\n\n`);
    setTimeout(() => response.destroy(), 50);
  });
  const response = await client.start(attemptAt(url), noSignal());
  await t.throwsAsync(collect(eventsOf(response)), {
    instanceOf: AttemptBrokenError,
  });
  server.close();
});

test('a response that does not come from an entry host is an error', async (t) => {
  const { server, url } = await startPlainServer((response) => response.end('{}'));
  await t.throwsAsync(client.start(attemptAt(url), noSignal()), {
    instanceOf: AttemptBrokenError,
  });
  server.close();
});

test('an unresponsive peer is reported as timed out, a refused connection as not established', async (t) => {
  const { server, url } = await startPlainServer(() => {});
  const attempt = attemptAt(url, { progressTimeoutMs: 1_000 });
  await t.throwsAsync(client.start(attempt, noSignal()), { instanceOf: ProgressTimeoutError });
  server.closeAllConnections();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  await t.throwsAsync(client.start(attempt, noSignal()), { instanceOf: ConnectFailedError });
});

test('a caller that disconnects cancels the request at the peer', async (t) => {
  let onCancelled: (() => void) | undefined;
  const cancelled = new Promise<void>((resolve) => {
    onCancelled = resolve;
  });
  const peer = await startPeer(async (_context, _route, _body, signal) => {
    signal.addEventListener('abort', () => onCancelled?.());
    return stream(endlessStream(signal));
  });
  const disconnect = new AbortController();
  const response = await client.start(attemptAt(peer.url), disconnect.signal);
  disconnect.abort();
  await t.throwsAsync(collect(eventsOf(response)));
  await cancelled;
  await peer.close();
});
