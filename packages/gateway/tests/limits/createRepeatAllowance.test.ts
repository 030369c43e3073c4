import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import { createRepeatAllowance } from '../../src/index.js';
import type { RepeatAllowance, ServiceName } from '../../src/index.js';

const service = asId<ServiceName>('orders');

test('all hosts together stay below ratio and slack in every window', (t) => {
  const clock = createManualClock();
  const hosts = 6;
  const bounds = () => ({ repeatRatio: 0.2, repeatSlack: 52, repeatWindowMs: 10_000 });
  const allowances = Array.from({ length: hosts }, () =>
    createRepeatAllowance({ clock, bounds, hostCount: () => hosts }),
  );
  let requests = 0;
  let repeats = 0;
  const serveOne = (allowance: RepeatAllowance): void => {
    allowance.noteRequest(service);
    requests += 1;
    repeats += [1, 2, 3].filter(() => allowance.take(service)).length;
  };
  for (let atMs = 0; atMs < 10_000; atMs += 100) {
    allowances.forEach(serveOne);
    clock.advance(100);
  }
  t.true(repeats <= 0.2 * requests + 52, `${repeats} repeats of ${requests}`);
  t.true(repeats >= 100, 'the allowance can be used');
});

test('the allowance is back after a window', (t) => {
  const clock = createManualClock();
  const bounds = () => ({ repeatRatio: 0, repeatSlack: 10, repeatWindowMs: 10_000 });
  const allowance = createRepeatAllowance({ clock, bounds, hostCount: () => 1 });
  while (allowance.take(service));
  clock.advance(10_000);
  t.true(allowance.take(service));
});
