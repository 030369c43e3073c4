import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { HostId, PromptPartKey } from '@camphorbarrow/core';
import { createSimulatedHost } from '../support/createSimulatedHost.js';

const HOST_COUNT = 65;
const part = asId<PromptPartKey>('part');

// Each host that had heard of no others tried a suspected prompt part at once.
test('one of the hosts that have just started tries a suspected prompt part', (t) => {
  const clock = createManualClock();
  const ids = Array.from({ length: HOST_COUNT }, (_, index) => asId<HostId>(`front-${index}`));
  const items = ids.map((key, index) => ({ key, value: '', modRevision: index + 1 }));
  const trials = ids.flatMap((id) => {
    const { view, context } = createSimulatedHost(id, clock);
    view.applyListing({ items, era: 0, revision: HOST_COUNT });
    context.partSuspicion.merge({
      crashes: [{ crashId: 'crash', ageMs: 0, parts: [part], trialParts: [] }],
      served: [],
    });
    return context.partTrials.tryStart([part], false) ?? [];
  });
  t.is(trials.length, 1);
});
