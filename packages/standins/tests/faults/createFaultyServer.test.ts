import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Client } from 'undici';
import { startKeyValueService } from '../../src/platform/startKeyValueService.js';
import type { StandIn } from '../../src/StandIn.js';

const SHORT_MS = 300;
const base64 = (text: string): string => Buffer.from(text).toString('base64');

async function startStore(t: ExecutionContext): Promise<StandIn> {
  const store = await startKeyValueService('127.0.0.1', 0);
  t.teardown(() => store.close());
  return store;
}

function connect(t: ExecutionContext, { url }: StandIn): Client {
  const client = new Client(url);
  t.teardown(() => client.destroy());
  return client;
}

async function post(
  client: Client,
  path: string,
  body: object,
  timeoutMs = 5_000,
): Promise<object> {
  const response = await client.request({
    path,
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
    signal: AbortSignal.timeout(timeoutMs),
  });
  return { status: response.statusCode, ...((await response.body.json()) as object) };
}

const put = {
  compare: [],
  success: [{ request_put: { key: base64('/a'), value: base64('1') } }],
  failure: [],
};

test('silenced open connections never respond again while new ones work', async (t) => {
  const store = await startStore(t);
  const open = connect(t, store);
  await post(open, '/v3/kv/range', { key: base64('/a') });
  await post(connect(t, store), '/control', { silenceOpenConnections: true });
  await t.throwsAsync(post(open, '/v3/kv/range', { key: base64('/a') }, SHORT_MS), {
    any: true,
    instanceOf: DOMException,
    name: 'TimeoutError',
  });
  t.like(await post(connect(t, store), '/v3/kv/range', { key: base64('/a') }), { status: 200 });
});

test('a watch that is open when connections are silenced delivers no further event', async (t) => {
  const store = await startStore(t);
  const watcher = connect(t, store);
  const watch = await watcher.request({
    path: '/v3/watch',
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ create_request: { key: base64('/a') } }),
  });
  let text = '';
  watch.body
    .on('error', () => undefined)
    .on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
  await post(connect(t, store), '/v3/kv/txn', put);
  await post(connect(t, store), '/control', { silenceOpenConnections: true });
  await post(connect(t, store), '/v3/kv/txn', put);
  await new Promise((resolve) => {
    setTimeout(resolve, SHORT_MS);
  });
  t.is(text.split('"PUT"').length - 1, 1);
});

test('a write whose response is lost has taken effect', async (t) => {
  const store = await startStore(t);
  await post(connect(t, store), '/control', { loseAnswers: true });
  await t.throwsAsync(post(connect(t, store), '/v3/kv/txn', put, SHORT_MS), {
    any: true,
    instanceOf: DOMException,
    name: 'TimeoutError',
  });
  await post(connect(t, store), '/control', { loseAnswers: false });
  t.like(await post(connect(t, store), '/v3/kv/range', { key: base64('/a') }), { count: '1' });
});

test('loseNextAnswers affects only the given number of responses of the given route', async (t) => {
  const store = await startStore(t);
  const faults = { loseNextAnswers: 1, loseAnswersTo: '/v3/kv/txn' };
  await post(connect(t, store), '/control', faults);
  t.like(await post(connect(t, store), '/v3/kv/range', { key: base64('/a') }), { status: 200 });
  await t.throwsAsync(post(connect(t, store), '/v3/kv/txn', put, SHORT_MS), {
    any: true,
    instanceOf: DOMException,
    name: 'TimeoutError',
  });
  t.like(await post(connect(t, store), '/v3/kv/txn', put), { status: 200, succeeded: true });
});

test('a delayed service responds late, an unavailable one rejects writes without effect', async (t) => {
  const store = await startStore(t);
  const client = connect(t, store);
  await post(client, '/control', { delayMs: SHORT_MS });
  const startedMs = performance.now();
  await post(client, '/v3/kv/range', { key: base64('/a') });
  t.true(performance.now() - startedMs >= SHORT_MS - 1);
  await post(client, '/control', { delayMs: 0, unavailable: true });
  t.like(await post(client, '/v3/kv/txn', put), { status: 503 });
  await post(client, '/control', { unavailable: false });
  t.like(await post(client, '/v3/kv/range', { key: base64('/a') }), { count: '0' });
});
