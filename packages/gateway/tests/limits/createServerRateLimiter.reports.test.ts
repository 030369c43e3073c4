import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { HostId } from '@camphorbarrow/core';
import { createServerRateLimiter } from '../../src/index.js';
import type { LimitedSend } from '../../src/index.js';
import { buildServer } from '../support/builders.js';

const COLD_PER_S = 2.3;

// A flood of a cold server could not be attributed to hosts with other senders or to ignorant ones.
test('a send to a cold server names the senders and the source of the coldness', (t) => {
  const ownId = asId<HostId>('host');
  const sends: LimitedSend[] = [];
  const limiter = createServerRateLimiter({
    clock: createManualClock(),
    ownId,
    regionHosts: () => [ownId],
    limitOf: () => undefined,
    onLimitedSend: (send) => sends.push(send),
  });
  const cold = { ...buildServer(), coldUntilMs: 2_000, coldSource: 'loss' as const };
  limiter.recordSend(cold, COLD_PER_S);
  limiter.recordSend(buildServer(), COLD_PER_S);
  t.deepEqual(sends, [
    {
      serverId: cold.registration.id,
      limit: 'cold',
      coldSource: 'loss',
      coldRemainingMs: 2_000,
      senders: 'host',
      hostCount: 1,
    },
  ]);
});
