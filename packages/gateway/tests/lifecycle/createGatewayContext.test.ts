import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { HostId } from '@camphorbarrow/core';
import { createSimulatedHost, RETRY_SLACK } from '../support/createSimulatedHost.js';

const HOST_COUNT = 65;

// Each of the hosts that start together used the retry slack of the whole fleet until it had heard of
// the others.
test('hosts that have just started share the retry slack of the fleet', (t) => {
  const clock = createManualClock();
  const ids = Array.from({ length: HOST_COUNT }, (_, index) => asId<HostId>(`front-${index}`));
  const retries = ids.map((id) => {
    const { view, context } = createSimulatedHost(id, clock);
    const items = ids.map((key, index) => ({ key, value: '', modRevision: index + 1 }));
    view.applyListing({ items, era: 0, revision: HOST_COUNT });
    let count = 0;
    while (count <= RETRY_SLACK && context.retryBudget.tryWithdraw(asId('model'))) {
      count += 1;
    }
    return count;
  });
  const total = retries.reduce((sum, count) => sum + count, 0);
  t.true(total > 0 && total <= RETRY_SLACK, `${total} retries`);
});
