import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { asId } from '@camphorbarrow/core';
import type { EngineAnswer, RequestId, ServiceAnswer } from '@camphorbarrow/core';
import { startEndlessServer } from '@camphorbarrow/platform/testing';
import type { EndlessServer } from '@camphorbarrow/platform/testing';
import { createHttpServiceClient } from '../../src/backends/createHttpServiceClient.js';
import { createOpenAiEngineClient } from '../../src/backends/createOpenAiEngineClient.js';

const TIMEOUT_MS = 1_000;
const SLACK_MS = 1_000;
/** Room for the buffers of the sockets beside the 8 MiB of the longest response. */
const MAX_SENT_BYTES = 33_554_432;
const OK = 'HTTP/1.1 200 OK\r\n';
const EVENT_STREAM = `${OK}Content-Type: text/event-stream\r\n\r\n`;
const never = new AbortController().signal;

async function startServer(
  t: ExecutionContext,
  start: string,
  repeated: string,
): Promise<EndlessServer> {
  const server = await startEndlessServer({ start: () => start, repeated });
  t.teardown(server.close);
  return server;
}

function callEngine(t: ExecutionContext, server: EndlessServer): Promise<EngineAnswer> {
  const client = createOpenAiEngineClient({ connectTimeoutMs: TIMEOUT_MS });
  t.teardown(() => client.close());
  return client.start(
    {
      baseUrl: `http://${server.address}`,
      route: 'chat/completions',
      body: '{}',
      requestId: asId<RequestId>('r1'),
      connectTimeoutMs: TIMEOUT_MS,
      firstByteTimeoutMs: TIMEOUT_MS,
      progressTimeoutMs: TIMEOUT_MS,
      onBeforeSend() {},
    },
    never,
  );
}

function callService(t: ExecutionContext, server: EndlessServer): Promise<ServiceAnswer> {
  const client = createHttpServiceClient({ connectTimeoutMs: TIMEOUT_MS });
  t.teardown(() => client.close());
  return client.call(
    {
      baseUrl: `http://${server.address}`,
      method: 'POST',
      path: '/orders',
      contentType: 'application/json',
      body: '{}',
      requestId: asId<RequestId>('r1'),
      connectTimeoutMs: TIMEOUT_MS,
      answerTimeoutMs: TIMEOUT_MS,
      freshConnection: false,
      onBeforeSend() {},
    },
    never,
  );
}

/** Settles like the promise, or resolves with `late` when that takes too long. */
const within = <Value>(value: Promise<Value>): Promise<Value | 'late'> =>
  Promise.race([value, sleep(TIMEOUT_MS + SLACK_MS, 'late' as const, { ref: false })]);

const errorNameOf = (value: Promise<unknown>): Promise<string> =>
  within(
    value.then(
      () => 'none',
      (error: unknown) => (error as Error).name,
    ),
  );

async function assertConnectionCloses(t: ExecutionContext, server: EndlessServer): Promise<void> {
  t.not(await within(server.closed()), 'late', 'still connected');
  t.true(server.sentBytes() <= MAX_SENT_BYTES, `${server.sentBytes()} bytes`);
}

test('the endless body of an engine that rejects a request is not read without end', async (t) => {
  const server = await startServer(t, 'HTTP/1.1 503 Busy\r\n\r\n', 'x');
  t.like(await within(callEngine(t, server)), { kind: 'refused', statusCode: 503 });
  await assertConnectionCloses(t, server);
});

test('the slow endless body of an engine that rejects a request is not read without end', async (t) => {
  const server = await startEndlessServer({
    start: () => 'HTTP/1.1 503 Busy\r\n\r\n',
    repeated: 'x',
    pauseMs: 100,
  });
  t.teardown(server.close);
  t.like(await within(callEngine(t, server)), { kind: 'refused', statusCode: 503 });
  await assertConnectionCloses(t, server);
});

test('an endless response of an engine is not kept without end', async (t) => {
  const server = await startServer(t, `${OK}Content-Type: application/json\r\n\r\n`, 'x');
  t.is(await errorNameOf(callEngine(t, server)), 'AttemptBrokenError');
  await assertConnectionCloses(t, server);
});

test('an endless response of a service is not kept without end', async (t) => {
  const server = await startServer(t, `${OK}\r\n`, 'x');
  t.is(await errorNameOf(callService(t, server)), 'AttemptBrokenError');
  await assertConnectionCloses(t, server);
});

test('an endless load report is not kept without end', async (t) => {
  const server = await startServer(t, `${OK}\r\n`, 'x');
  const client = createOpenAiEngineClient({ connectTimeoutMs: TIMEOUT_MS });
  t.teardown(() => client.close());
  const report = client.readLoad(`http://${server.address}`, 2 * TIMEOUT_MS);
  t.is(await errorNameOf(report), 'AttemptBrokenError');
  await assertConnectionCloses(t, server);
});

['data: without an end of line', ': comment\n\n'].forEach((repeated) => {
  test(`a stream of "${repeated.trim()}" without an event ends`, async (t) => {
    const server = await startServer(t, EVENT_STREAM, repeated);
    const response = await within(callEngine(t, server));
    if (response === 'late' || response.kind !== 'stream') {
      t.fail('no stream');
      return;
    }
    const events = response.events[Symbol.asyncIterator]();
    t.is(await errorNameOf(events.next()), 'AttemptBrokenError');
    await assertConnectionCloses(t, server);
  });
});

test('interim responses without end are not read without end', async (t) => {
  const server = await startServer(t, '', 'HTTP/1.1 102 Processing\r\n\r\n');
  t.not(await errorNameOf(callEngine(t, server)), 'none');
  await assertConnectionCloses(t, server);
});

test('bytes without end after a complete response do not keep it from the caller', async (t) => {
  const server = await startServer(t, `${OK}Content-Length: 2\r\n\r\nok`, 'x');
  t.like(await within(callService(t, server)), { statusCode: 200, body: 'ok' });
  await assertConnectionCloses(t, server);
});
