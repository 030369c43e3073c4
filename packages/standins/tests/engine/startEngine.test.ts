import { createHash } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import type { EngineOptions } from '../../src/engine/EngineOptions.js';
import { startEngine } from '../../src/engine/startEngine.js';

async function start(t: ExecutionContext, options: Partial<EngineOptions>): Promise<string> {
  const engine = await startEngine('127.0.0.1', 0, {
    serverId: 'e1',
    models: ['m'],
    tokenMs: 1,
    ...options,
  });
  t.teardown(() => engine.close());
  return engine.url;
}

async function call(url: string, body?: object): Promise<{ status: number; body: unknown }> {
  const response = await request(
    url,
    body === undefined
      ? {}
      : {
          method: 'POST',
          headers: { 'content-type': 'application/json', 'x-request-id': 'r1' },
          body: JSON.stringify(body),
        },
  );
  return { status: response.statusCode, body: await response.body.json() };
}

test('a response contains the nonce and the checksum of its prompt', async (t) => {
  const url = await start(t, {});
  const prompt = 'nonce=abc-1 wren';
  const sum = createHash('sha256').update(prompt).digest('hex').slice(0, 16);
  const { body } = await call(`${url}/v1/completions`, { model: 'm', prompt, max_tokens: 3 });
  t.like(body, { choices: [{ text: `e1[abc-1] t1 t2 sum=${sum}` }] });
});

test('an executed request is recorded with its id, nonce and digest', async (t) => {
  const url = await start(t, {});
  const prompt = 'nonce=abc-2';
  await call(`${url}/v1/completions`, { model: 'm', prompt, max_tokens: 1 });
  const digest = createHash('sha256').update(prompt).digest('hex');
  t.like((await call(`${url}/executed`)).body, {
    executed: [{ requestId: 'r1', call: 'abc-2', digest }],
    arrived: [{ requestId: 'r1', call: 'abc-2' }],
    leavingSinceMs: null,
  });
});

test('a request is rejected with 503 and not executed when the queue is full', async (t) => {
  const url = await start(t, { maxConcurrentRequests: 1, maxWaitingRequests: 1, tokenMs: 100 });
  const body = { model: 'm', prompt: 'p', max_tokens: 2 };
  const responses = await Promise.all([1, 2, 3].map(() => call(`${url}/v1/completions`, body)));
  t.deepEqual(responses.map(({ status }) => status).sort(), [200, 200, 503]);
  const { body: records } = await call(`${url}/executed`);
  t.is((records as { executed: unknown[] }).executed.length, 2);
});

test('a load report is as old as loadLagMs', async (t) => {
  const url = await start(t, { loadLagMs: 300, tokenMs: 1_000 });
  await call(`${url}/load`);
  const running = call(`${url}/v1/completions`, { model: 'm', prompt: 'p', max_tokens: 1 });
  await delay(100);
  t.like((await call(`${url}/load`)).body, { runningRequests: 0 });
  await delay(400);
  t.like((await call(`${url}/load`)).body, { runningRequests: 1 });
  await running;
});

test('dropped cache events leave gaps in the sequence', async (t) => {
  const url = await start(t, { cacheEventGapEvery: 3 });
  const prompt = 'x'.repeat(5 * 1024);
  await call(`${url}/v1/completions`, { model: 'm', prompt, max_tokens: 1 });
  const { body } = await call(`${url}/cache-events`);
  const { events } = body as { events: { sequence: number }[] };
  t.deepEqual(
    events.map(({ sequence }) => sequence),
    [1, 2, 4, 5],
  );
});

test('a leaving engine reports its state and rejects new requests', async (t) => {
  const url = await start(t, {});
  await call(`${url}/leave`, {});
  t.like((await call(`${url}/load`)).body, { state: 'leaving' });
  t.is((await call(`${url}/v1/completions`, { model: 'm', prompt: 'p' })).status, 503);
});
