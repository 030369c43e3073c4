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
