import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import { createRetryBudget } from '../../src/index.js';
import type { RetryBudget, ServiceName } from '../../src/index.js';

const service = asId<ServiceName>('orders');

test('all hosts together stay below ratio and slack within a window', (t) => {
  const clock = createManualClock();
  const hosts = 6;
  const bounds = () => ({ retryRatio: 0.2, retrySlack: 52, retryWindowMs: 10_000 });
  const budgets = Array.from({ length: hosts }, () =>
    createRetryBudget({ clock, bounds, hostCount: () => hosts }),
  );
  let requests = 0;
  let retries = 0;
  const serveOne = (budget: RetryBudget): void => {
    budget.recordRequest(service);
    requests += 1;
    retries += [1, 2, 3].filter(() => budget.tryWithdraw(service)).length;
  };
  for (let atMs = 0; atMs < 10_000; atMs += 100) {
    budgets.forEach(serveOne);
    clock.advance(100);
  }
  t.true(retries <= 0.2 * requests + 52, `${retries} retries of ${requests}`);
  t.true(retries >= 100, 'most of the budget can be used');
});

test('the budget is available again after a window', (t) => {
  const clock = createManualClock();
  const bounds = () => ({ retryRatio: 0, retrySlack: 10, retryWindowMs: 10_000 });
  const budget = createRetryBudget({ clock, bounds, hostCount: () => 1 });
  while (budget.tryWithdraw(service));
  clock.advance(10_000);
  t.true(budget.tryWithdraw(service));
});

test('a refund returns one retry of the window, and never more than were made', (t) => {
  const clock = createManualClock();
  const bounds = () => ({ retryRatio: 0, retrySlack: 10, retryWindowMs: 10_000 });
  const budget = createRetryBudget({ clock, bounds, hostCount: () => 1 });
  const withdrawAll = (): number => {
    let count = 0;
    while (budget.tryWithdraw(service)) {
      count += 1;
    }
    return count;
  };
  budget.refund(service);
  t.is(withdrawAll(), 8);
  clock.advance(5_000);
  budget.refund(service);
  t.is(withdrawAll(), 1);
});
