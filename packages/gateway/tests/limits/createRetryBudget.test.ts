import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import { createRetryBudget } from '../../src/index.js';
import type { RetryBudget, ServiceName } from '../../src/index.js';

const service = asId<ServiceName>('orders');

test('all hosts together stay below ratio and slack in every window', (t) => {
  const clock = createManualClock();
  const hosts = 6;
  const bounds = () => ({ retryRatio: 0.2, retrySlack: 52, retryWindowMs: 10_000 });
  const allowances = Array.from({ length: hosts }, () =>
    createRetryBudget({ clock, bounds, hostCount: () => hosts }),
  );
  let requests = 0;
  let repeats = 0;
  const serveOne = (allowance: RetryBudget): void => {
    allowance.recordRequest(service);
    requests += 1;
    repeats += [1, 2, 3].filter(() => allowance.tryWithdraw(service)).length;
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
  const bounds = () => ({ retryRatio: 0, retrySlack: 10, retryWindowMs: 10_000 });
  const allowance = createRetryBudget({ clock, bounds, hostCount: () => 1 });
  while (allowance.tryWithdraw(service));
  clock.advance(10_000);
  t.true(allowance.tryWithdraw(service));
});
