// Guards against time-outs that a client reports after a pause of its own process, although the
// head, the data or the event arrived in time.
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { asId, headerNames } from '@camphorbarrow/core';
import type { EngineAnswer, ForwardAnswer, ForwardAttempt, RequestId } from '@camphorbarrow/core';
import { createHttpServiceClient } from '../../src/backends/createHttpServiceClient.js';
import { createOpenAiEngineClient } from '../../src/backends/createOpenAiEngineClient.js';
import { createHttpForwardClient } from '../../src/peers/createHttpForwardClient.js';
import { startPausingServer } from '../support/startPausingServer.js';
import { toResponse } from '../support/toResponse.js';

const TIMEOUT_MS = 900;
// The coarse timers of undici take part only in their second tick, after a second.
const PAUSE = { delayMs: 520, pauseMs: 700 };
const never = new AbortController().signal;
const requestId = asId<RequestId>('r1');
const EVENT_STREAM_HEAD = `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n${headerNames.servedBy}: peer\r\n\r\n`;

function startResponseServer(t: ExecutionContext, body: string): Promise<string> {
  return startPausingServer(t, { ...PAUSE, rest: toResponse(body) });
}

function startStreamServer(t: ExecutionContext): Promise<string> {
  const start = `${EVENT_STREAM_HEAD}data: 1\n\n`;
  return startPausingServer(t, { ...PAUSE, start, rest: 'data: 2\n\ndata: [DONE]\n\n' });
}

async function firstEvents(response: EngineAnswer | ForwardAnswer): Promise<readonly string[]> {
  const events: string[] = [];
  if (response.kind === 'stream') {
    for await (const event of response.events) {
      events.push(event);
      if (events.length === 2) {
        break;
      }
    }
  }
  return events;
}

// The outcome of an order is unknown when its response is not read.
test.serial('the response to an order is read after a pause of the process', async (t) => {
  const client = createHttpServiceClient({ connectTimeoutMs: TIMEOUT_MS });
  t.teardown(() => client.close());
  const call = {
    baseUrl: await startResponseServer(t, 'ok'),
    method: 'POST',
    path: '/orders',
    contentType: 'application/json',
    body: '{}',
    requestId,
    connectTimeoutMs: 1,
    answerTimeoutMs: TIMEOUT_MS,
    freshConnection: false,
    onBeforeSend() {},
  };
  t.like(await client.call(call, never), { statusCode: 200, body: 'ok' });
});

function callEngine(
  t: ExecutionContext,
  baseUrl: string,
  mayTimeOut?: () => boolean,
): Promise<EngineAnswer> {
  const client = createOpenAiEngineClient({ connectTimeoutMs: TIMEOUT_MS });
  t.teardown(() => client.close());
  return client.start(
    {
      baseUrl,
      route: 'chat/completions',
      body: '{}',
      requestId,
      connectTimeoutMs: TIMEOUT_MS,
      firstByteTimeoutMs: TIMEOUT_MS,
      progressTimeoutMs: TIMEOUT_MS,
      mayTimeOut,
      onBeforeSend() {},
    },
    never,
  );
}

test.serial('the first byte of an engine is read after a pause of the process', async (t) => {
  const url = await startResponseServer(t, '{}');
  t.like(await callEngine(t, url), { kind: 'plain', body: '{}' });
});

test.serial(
  'the rest of a plain response of an engine is read after a pause of the process',
  async (t) => {
    const response = toResponse('{}');
    const start = response.slice(0, -1);
    const url = await startPausingServer(t, { ...PAUSE, start, rest: response.slice(-1) });
    t.like(await callEngine(t, url), { kind: 'plain', body: '{}' });
  },
);

test.serial('the next event of an engine is read after a pause of the process', async (t) => {
  const response = await callEngine(t, await startStreamServer(t));
  t.deepEqual(await firstEvents(response), ['1', '2']);
});

function forward(t: ExecutionContext, peerUrl: string, streamed: boolean): Promise<ForwardAnswer> {
  const client = createHttpForwardClient({ peerKey: 'k' });
  t.teardown(() => client.close());
  const attempt: ForwardAttempt = {
    peerUrl,
    regionId: asId('costa'),
    route: 'chat/completions',
    body: '{}',
    requestId,
    customerId: asId('workshop'),
    rank: 'urgent',
    path: [asId('host')],
    remainingMs: TIMEOUT_MS,
    connectTimeoutMs: TIMEOUT_MS,
    progressTimeoutMs: TIMEOUT_MS,
    streamed,
  };
  return client.start(attempt, never);
}

test.serial(
  'the response to a forwarded request is read after a pause of the process',
  async (t) => {
    const url = await startResponseServer(t, '{}');
    t.like(await forward(t, url, false), { kind: 'plain', body: '{}' });
  },
);

test.serial(
  'the next event of a forwarded stream is read after a pause of the process',
  async (t) => {
    const response = await forward(t, await startStreamServer(t), true);
    t.deepEqual(await firstEvents(response), ['1', '2']);
  },
);

test.serial('the head of a response that does not arrive ends the request', async (t) => {
  const url = await startPausingServer(t, { rest: '', delayMs: 0, pauseMs: 0 });
  await t.throwsAsync(callEngine(t, url), { name: 'ProgressTimeoutError' });
});

test.serial('the rest of a response that does not arrive ends the request', async (t) => {
  const start = toResponse('{}').slice(0, -1);
  const url = await startPausingServer(t, { start, rest: '', delayMs: 0, pauseMs: 0 });
  await t.throwsAsync(callEngine(t, url), { name: 'ProgressTimeoutError' });
});

test.serial('a late head is awaited until the request may time out', async (t) => {
  const url = await startPausingServer(t, {
    rest: toResponse('{}'),
    delayMs: 2 * TIMEOUT_MS,
    pauseMs: 0,
  });
  t.like(await callEngine(t, url, () => false), { kind: 'plain', body: '{}' });
  let questions = 0;
  const response = callEngine(t, url, () => {
    questions += 1;
    return questions === 2;
  });
  await t.throwsAsync(response, { name: 'ProgressTimeoutError' });
  t.is(questions, 2);
});
