import { IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { forwardEvents } from '../../src/index.js';
import type { ForwardEventsOptions, ResponseWriter } from '../../src/index.js';

function setUp(write: ResponseWriter['write'], changes: Partial<ForwardEventsOptions> = {}) {
  const response = new IncomingMessage(new Socket());
  response.on('error', () => undefined);
  const result = forwardEvents({
    response,
    responseWriter: { write } as ResponseWriter,
    isContinuation: false,
    onFirstEvent() {},
    onEvents() {},
    maxEventGapMs: undefined,
    signal: new AbortController().signal,
    ...changes,
  });
  return { response, result };
}

function setUpRecorder(changes: Partial<ForwardEventsOptions> = {}) {
  const written: string[] = [];
  const write = async (chunk: Buffer): Promise<void> => {
    written.push(chunk.toString());
  };
  return { written, ...setUp(write, changes) };
}

test('comments before the first event are forwarded with it, later ones as they arrive', async (t) => {
  const { written, response, result } = setUpRecorder();
  response.push(': a\n\n');
  await sleep(10);
  t.deepEqual(written, []);
  response.push('id: 1\n\n');
  await sleep(10);
  response.push(': b\n\n');
  await sleep(10);
  response.complete = true;
  response.push(null);
  t.like(await result, { complete: true, lastEventId: '1' });
  t.deepEqual(written, [': a\n\nid: 1\n\n', ': b\n\n']);
});

test('comments do not end a pause between events', async (t) => {
  const { response, result } = setUpRecorder({ maxEventGapMs: 200 });
  const timer = setInterval(() => response.push(': waiting\n\n'), 20);
  t.teardown(() => clearInterval(timer));
  t.like(await result, { complete: false, cause: 'silent' });
});
