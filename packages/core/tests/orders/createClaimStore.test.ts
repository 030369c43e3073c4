import { randomUUID } from 'node:crypto';
import test from 'ava';
import type { HostId } from '../../src/ids/HostId.js';
import type { Incarnation } from '../../src/ids/Incarnation.js';
import type { RegionId } from '../../src/ids/RegionId.js';
import { asId } from '../../src/ids/asId.js';
import { createClaimStore } from '../../src/orders/createClaimStore.js';
import type { ClaimStore } from '../../src/orders/createClaimStore.js';
import type { KeyValueStore } from '../../src/ports/KeyValueStore.js';
import { createSimulatedStore } from './createSimulatedStore.js';
import type { StoreFault } from './createSimulatedStore.js';

interface Fixture {
  readonly claims: ClaimStore;
  readonly store: KeyValueStore;
  readonly faults: StoreFault[];
  readonly calls: string[];
  readonly time: { wallMs: number; monotonicMs: number };
}

const KEY = '/claims/_/hash';
const self = {
  hostId: asId<HostId>('norte-1'),
  incarnation: asId<Incarnation>(randomUUID()),
  regionId: asId<RegionId>('norte'),
};

/** Claim store on a simulated key-value store whose next calls have the given `faults`. */
function createFixture(): Fixture {
  const faults: StoreFault[] = [];
  const calls: string[] = [];
  const time = { wallMs: 5_000, monotonicMs: 0 };
  const simulated = createSimulatedStore({
    step: async () => undefined,
    nextFault: () => faults.shift() ?? 'none',
  });
  const store: KeyValueStore = {
    ...simulated,
    get: (key) => {
      calls.push('get');
      return simulated.get(key);
    },
    compareAndSwap: (request) => {
      calls.push('compareAndSwap');
      return simulated.compareAndSwap(request);
    },
    grantLease: (ttlSeconds) => {
      calls.push(`grantLease ${ttlSeconds}`);
      return simulated.grantLease(ttlSeconds);
    },
  };
  const clock = {
    nowMs: () => time.wallMs,
    monotonicMs: () => time.monotonicMs,
    sleep: async () => undefined,
  };
  return { claims: createClaimStore({ clock, store, self }), store, faults, calls, time };
}

test('a claim costs one write; claims share one lease per hour, which lasts a day after the last of them', async (t) => {
  const { claims, calls, time } = createFixture();
  for (let index = 0; index < 3; index += 1) {
    t.like(await claims.acquire(`${KEY}${index}`, randomUUID(), 0), { kind: 'acquired' });
  }
  time.monotonicMs += 3_600_001;
  await claims.acquire(`${KEY}3`, randomUUID(), 0);
  const grant = 'grantLease 90600';
  const swap = 'compareAndSwap';
  t.deepEqual(calls, [grant, swap, swap, swap, grant, swap]);
});

test('the record contains only claim id, host, incarnation, state and time', async (t) => {
  const { claims, store } = createFixture();
  const claimId = randomUUID();
  await claims.acquire(KEY, claimId, 0);
  const { hostId, incarnation } = self;
  t.deepEqual(JSON.parse((await store.get(KEY))?.value ?? ''), {
    claimId,
    hostId,
    incarnation,
    state: 'claimed',
    claimedAtMs: 5_000,
  });
});

test('a lost response to a claim is resolved by its claim id', async (t) => {
  const { claims, faults } = createFixture();
  faults.push('none', 'lost-response');
  t.like(await claims.acquire(KEY, randomUUID(), 0), { kind: 'acquired' });
  faults.push('lost-response');
  t.like(await claims.acquire(KEY, randomUUID(), 0), { kind: 'held' });
});

test('a claim is unavailable when the store becomes unreachable after an uncertain write', async (t) => {
  const { claims, faults } = createFixture();
  faults.push('none', 'lost-response', 'outage');
  t.deepEqual(await claims.acquire(KEY, randomUUID(), 0), { kind: 'unavailable' });
  t.like(await claims.acquire(KEY, randomUUID(), 0), { kind: 'held' });
});

test('only one of two hosts that replace an abandoned claim succeeds', async (t) => {
  const { claims } = createFixture();
  const first = await claims.acquire(KEY, randomUUID(), 0);
  const revision = first.kind === 'acquired' ? first.revision : 0;
  const [winner, loser] = [
    await claims.acquire(KEY, randomUUID(), revision),
    await claims.acquire(KEY, randomUUID(), revision),
  ];
  t.is(winner.kind, 'acquired');
  t.is(loser.kind, 'held');
});

// Guards against sending an order after its claim has expired, when the process or its host is
// paused between claim and send.
test('a claim does not allow sending after a long pause, on either clock', async (t) => {
  for (const name of ['wallMs', 'monotonicMs'] as const) {
    const { claims, time } = createFixture();
    const claim = await claims.acquire(KEY, randomUUID(), 0);
    t.true(claim.kind === 'acquired' && claim.maySend());
    time[name] += 300_001;
    t.false(claim.kind === 'acquired' && claim.maySend());
  }
});
