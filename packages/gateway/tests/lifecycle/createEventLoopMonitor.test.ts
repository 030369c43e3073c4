import test from 'ava';
import { createSystemClock } from '@camphorbarrow/core';
import type { LogFields } from '@camphorbarrow/core';
import { createEventLoopMonitor } from '../../src/index.js';

const BUSY_MS = 600;

test('a busy event loop is logged and measured with its delay', async (t) => {
  const logged: { readonly event: string; readonly fields: LogFields }[] = [];
  const delaysMs: number[] = [];
  const clock = createSystemClock();
  const monitor = createEventLoopMonitor(
    clock,
    {
      info() {},
      warn: (event, fields = {}) => logged.push({ event, fields }),
      error() {},
    },
    {
      increment() {},
      gauge() {},
      timingMs: (_name, delayMs) => delaysMs.push(delayMs),
      close: async () => undefined,
    },
  );
  t.teardown(monitor.close);
  const endMs = clock.monotonicMs() + BUSY_MS;
  while (clock.monotonicMs() < endMs) {
    // Blocks the event loop.
  }
  await clock.sleep(50);
  t.true(logged.some(({ event }) => event === 'event-loop-delayed'));
  t.true(Math.max(...delaysMs) >= BUSY_MS - 150, `${Math.max(...delaysMs)} ms`);
});

const silentLog = { info() {}, warn() {}, error() {} };
const silentMetrics = {
  increment() {},
  gauge() {},
  timingMs() {},
  close: async () => undefined,
};

test.serial('what is processed after a pause may have waited since its start', async (t) => {
  const clock = createSystemClock();
  const monitor = createEventLoopMonitor(clock, silentLog, silentMetrics);
  t.teardown(monitor.close);
  await clock.sleep(250);
  t.true(clock.monotonicMs() - monitor.pendingSinceMs() < BUSY_MS / 2);
  const pausedAtMs = clock.monotonicMs();
  while (clock.monotonicMs() < pausedAtMs + BUSY_MS) {
    // Blocks the event loop.
  }
  t.true(monitor.pendingSinceMs() <= pausedAtMs, 'before the timers');
  await clock.sleep(1);
  t.true(monitor.pendingSinceMs() <= pausedAtMs, 'after the timers');
  await clock.sleep(250);
  t.true(monitor.pendingSinceMs() > pausedAtMs + BUSY_MS, 'later');
});
