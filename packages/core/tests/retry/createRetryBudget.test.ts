import test from 'ava';
import fc from 'fast-check';
import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import { asId } from '../../src/ids/asId.js';
import { createRetryBudget } from '../../src/retry/createRetryBudget.js';
import { createManualClock } from '../createManualClock.js';
import { createFakeRequest } from '../support/createFakeRequest.js';

const settings = fleetDefaultsSchema.parse({
  retry: { budgetRatio: 0.1, minimumRetriesPerSecond: 1 },
});

test('retries never exceed the ratio, the minimum rate and the bucket capacity', async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.record({ waitMs: fc.nat({ max: 500 }), customer: fc.nat({ max: 3 }) }), {
        maxLength: 200,
      }),
      async (steps) => {
        const clock = createManualClock();
        const budget = createRetryBudget(clock);
        let retries = 0;
        let requests = 0;
        for (const { waitMs, customer } of steps) {
          await clock.advance(waitMs);
          const request = createFakeRequest({ settings, customerId: asId(`c${customer}`) });
          requests += 1;
          budget.deposit(request);
          retries += [1, 2, 3].filter(() => budget.tryWithdraw(request)).length;
          const limit = 0.1 * requests + clock.monotonicMs() / 1000 + 50;
          t.true(retries <= limit, `${retries} retries of ${requests} requests`);
        }
      },
    ),
    { numRuns: 30 },
  );
});

test('a customer whose requests fail does not use up the retries of the others', async (t) => {
  const clock = createManualClock();
  const budget = createRetryBudget(clock);
  const failing = createFakeRequest({ settings, customerId: asId('failing') });
  const other = createFakeRequest({ settings, customerId: asId('other') });
  for (let count = 0; count < 100; count += 1) {
    budget.deposit(other);
  }
  const withdrawn = Array.from({ length: 100 }, () => budget.tryWithdraw(failing)).filter(Boolean);
  t.is(withdrawn.length, 25, 'half of the capacity of the entry host');
  t.true(budget.tryWithdraw(other));
});

test('the minimum rate allows a retry on a host that receives few requests', async (t) => {
  const clock = createManualClock();
  const budget = createRetryBudget(clock);
  const request = createFakeRequest({ settings });
  while (budget.tryWithdraw(request)) {
    // Uses up the initial content of the bucket.
  }
  t.false(budget.tryWithdraw(request));
  await clock.advance(1_000);
  t.true(budget.tryWithdraw(request));
});
