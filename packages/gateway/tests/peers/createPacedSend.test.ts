import { setImmediate as nextTurn } from 'node:timers/promises';
import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import type { LogSink } from '@camphorbarrow/core';
import { createPacedSend } from '../../src/index.js';

const silentLog: LogSink = { info() {}, warn() {}, error() {} };
const BYTES_PER_SECOND = 1_000;
const SEND_BYTES = 500;
const MAX_PAUSE_MS = 2_000;

function startPacedSend(send = (): number => SEND_BYTES) {
  const clock = createManualClock();
  const stop = new AbortController();
  const sentAtMs: number[] = [];
  const request = createPacedSend({
    clock,
    log: silentLog,
    bytesPerSecond: BYTES_PER_SECOND,
    maxPauseMs: MAX_PAUSE_MS,
    send() {
      sentAtMs.push(clock.monotonicMs());
      return send();
    },
    signal: stop.signal,
  });
  async function advance(durationMs: number): Promise<void> {
    clock.advance(durationMs);
    await nextTurn();
  }
  return { request, advance, sentAtMs, stop };
}

// Servers that crashed together made each host send a heartbeat to all others for each of them.
test('many changes at the same moment are sent at once, and together when the rate permits', async (t) => {
  const { request, advance, sentAtMs } = startPacedSend();
  for (let change = 0; change < 14; change += 1) {
    request();
  }
  t.deepEqual(sentAtMs, [0]);
  await advance(499);
  t.is(sentAtMs.length, 1);
  await advance(1);
  t.deepEqual(sentAtMs, [0, 500]);
  await advance(10_000);
  t.is(sentAtMs.length, 2, 'nothing is sent without a change');
});

test('changes that never end keep to the rate', async (t) => {
  const { request, advance, sentAtMs } = startPacedSend();
  for (let atMs = 0; atMs < 10_000; atMs += 10) {
    request();
    await advance(10);
  }
  t.true((sentAtMs.length - 1) * SEND_BYTES <= BYTES_PER_SECOND * 10, `${sentAtMs.length} sends`);
  t.true(sentAtMs.length >= 19);
});

test('a failed send does not prevent the next one', async (t) => {
  let isFailing = true;
  const { request, advance, sentAtMs } = startPacedSend(() => {
    if (isFailing) {
      throw new Error('The socket is closed.');
    }
    return SEND_BYTES;
  });
  t.notThrows(request);
  isFailing = false;
  request();
  t.is(sentAtMs.length, 2);
  request();
  isFailing = true;
  await advance(500);
  request();
  t.is(sentAtMs.length, 4);
});

test('nothing is sent after the end', async (t) => {
  const { request, advance, sentAtMs, stop } = startPacedSend();
  request();
  request();
  stop.abort();
  request();
  await advance(1_000);
  t.is(sentAtMs.length, 1);
});

// After a send to 194 hosts, the next one came when the report of the crash was no longer sent.
test('a change after a large send waits for the maximum pause at most', async (t) => {
  const { request, advance, sentAtMs } = startPacedSend(() => 10 * BYTES_PER_SECOND);
  request();
  await advance(100);
  request();
  await advance(MAX_PAUSE_MS - 101);
  t.deepEqual(sentAtMs, [0]);
  await advance(1);
  t.deepEqual(sentAtMs, [0, MAX_PAUSE_MS]);
});
