import test from 'ava';
import fc from 'fast-check';
import type { RegionId } from '../../../src/ids/RegionId.js';
import { asId } from '../../../src/ids/asId.js';
import type { RegionView } from '../../../src/routing/spill/RegionView.js';
import type { SpillPolicy } from '../../../src/routing/spill/SpillPolicy.js';
import { createSpillDecider } from '../../../src/routing/spill/createSpillDecider.js';
import { spillWhenItPays } from '../../../src/routing/spill/spillWhenItPays.js';
import { createRequest } from '../fixtures.js';
import { costa, createLocal, createRegion } from './fixtures.js';

const alwaysCosta: SpillPolicy = () => costa;

function countDecisions(
  decider: ReturnType<typeof createSpillDecider>,
  times: readonly number[],
): number {
  const local = createLocal(30_000);
  return times.filter(
    (nowMs) =>
      decider.decide({ request: createRequest(), nowMs, local, tried: new Set() }) !== undefined,
  ).length;
}

test('entry hosts that use the same summary do not forward more requests than the free capacity', (t) => {
  const hosts = 5;
  const burst = Array.from({ length: 100 }, (_, index) => index * 10);
  let sent = 0;
  for (let host = 0; host < hosts; host += 1) {
    const decider = createSpillDecider({
      policy: spillWhenItPays,
      regions: () => [createRegion({ load: { capacity: 40 } })],
      fleetHostCount: () => hosts + 1,
    });
    sent += countDecisions(decider, burst);
  }
  // 500 requests within a second compete for a free capacity of 40.
  t.true(sent >= 20 && sent <= 40, `${sent} requests were forwarded`);
});

test('requests that have ended return their tokens for later requests', (t) => {
  // Otherwise a host without servers would reject short requests while the other region is idle.
  const decider = createSpillDecider({
    policy: alwaysCosta,
    regions: () => [createRegion({ load: { capacity: 16 } })],
    fleetHostCount: () => 3,
  });
  const local = createLocal(Infinity);
  for (let nowMs = 0; nowMs < 1_000; nowMs += 10) {
    const view = decider.decide({ request: createRequest(), nowMs, local, tried: new Set() });
    t.is(view?.regionId, costa, `the request at ${nowMs} ms was not forwarded`);
    decider.recordEnd(costa);
  }
});

test('a region that rejected a request is skipped during a backoff, for that model only', (t) => {
  const decider = createSpillDecider({
    policy: alwaysCosta,
    regions: () => [createRegion()],
    fleetHostCount: () => 2,
  });
  decider.recordRejection(costa, 'layout-large', 0);
  const local = createLocal(Infinity);
  const decide = (model: string, nowMs: number): RegionView | undefined =>
    decider.decide({ request: createRequest({ model }), nowMs, local, tried: new Set() });
  t.is(decide('layout-large', 1_900), undefined);
  t.is(decide('layout-small', 1_900)?.regionId, costa);
  t.is(decide('layout-large', 2_100)?.regionId, costa);
});

test('an entry host counts as spilling for some time after it forwarded a request', (t) => {
  const decider = createSpillDecider({
    policy: alwaysCosta,
    regions: () => [createRegion()],
    fleetHostCount: () => 2,
  });
  t.false(decider.isSpilling(0));
  t.is(countDecisions(decider, [0]), 1);
  t.true(decider.isSpilling(2_900));
  t.false(decider.isSpilling(3_100));
});

const maybe = <Value>(value: fc.Arbitrary<Value>): fc.Arbitrary<Value | undefined> =>
  fc.option(value, { nil: undefined });
const regionId = fc.constantFrom('costa', 'sierra-sur', 'x').map((name) => asId<RegionId>(name));
const anyRegion: fc.Arbitrary<RegionView> = fc.record({
  regionId,
  load: maybe(
    fc.record({
      capacity: fc.nat(100),
      inUse: fc.nat(100),
      firstTokenWaitMs: fc.nat(1_000),
      spilling: fc.boolean(),
    }),
  ),
  loadAgeMs: fc.oneof(fc.double(), fc.constant(0)),
  roundTripMs: maybe(fc.double()),
  peerUrls: fc.array(fc.constant('http://host'), { maxLength: 2 }),
});

test('a request with a home region or that was already forwarded is never forwarded, for arbitrary views', (t) => {
  const bound = fc.oneof(
    fc.record({ homeRegionId: regionId }),
    fc.record({ path: fc.constant([asId<never>('host-1')]) }),
  );
  fc.assert(
    fc.property(bound, fc.array(anyRegion), fc.double(), regionId, (changes, regions, ms, to) => {
      for (const policy of [spillWhenItPays, (): RegionId => to]) {
        const decider = createSpillDecider({
          policy,
          regions: () => regions,
          fleetHostCount: () => 3,
        });
        const decided = decider.decide({
          request: createRequest(changes),
          nowMs: 0,
          local: createLocal(ms),
          tried: new Set(),
        });
        t.is(decided, undefined);
      }
    }),
    { seed: 20_261_204, numRuns: 500 },
  );
});
