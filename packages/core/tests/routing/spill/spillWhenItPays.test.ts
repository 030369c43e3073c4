import test from 'ava';
import type { RegionId } from '../../../src/ids/RegionId.js';
import { asId } from '../../../src/ids/asId.js';
import type { InferenceRequest } from '../../../src/requests/InferenceRequest.js';
import type { RegionView } from '../../../src/routing/spill/RegionView.js';
import { neverSpill } from '../../../src/routing/spill/neverSpill.js';
import { spillToLeastLoaded } from '../../../src/routing/spill/spillToLeastLoaded.js';
import { spillWhenItPays } from '../../../src/routing/spill/spillWhenItPays.js';
import { createRequest } from '../fixtures.js';
import { costa, createLocal, createRegion } from './fixtures.js';

interface Case {
  readonly localMs: number;
  readonly regions?: readonly RegionView[];
  readonly request?: Partial<InferenceRequest>;
  readonly spillingTo?: RegionId;
}

function choose(facts: Case): RegionId | undefined {
  return spillWhenItPays({
    request: createRequest(facts.request),
    nowMs: 0,
    local: createLocal(facts.localMs),
    regions: facts.regions ?? [createRegion()],
    isSpillingTo: (regionId) => regionId === facts.spillingTo,
  });
}

// An idle region 160 ms away costs 2 round trips and 200 ms of prefill; the minimum gain is 500 ms.
const LEAST_PAYING_MS = 320 + 200 + 500;

test('a request goes to another region only for more than the minimum gain', (t) => {
  t.is(choose({ localMs: LEAST_PAYING_MS - 1 }), undefined);
  t.is(choose({ localMs: LEAST_PAYING_MS + 10 }), costa);
});

test('a cached prefix at home counts against leaving', (t) => {
  // The same queue, but the prompt is cached at home: 200 ms less.
  t.is(choose({ localMs: LEAST_PAYING_MS + 10 - 200 }), undefined);
});

test('a large body counts against leaving', (t) => {
  const request = { body: 'x'.repeat(2_000_000) };
  t.is(choose({ localMs: LEAST_PAYING_MS + 1_000, request }), undefined);
});

test('a region in use keeps it with half the gain, so that work does not flap', (t) => {
  const localMs = LEAST_PAYING_MS - 200;
  t.is(choose({ localMs }), undefined);
  t.is(choose({ localMs, spillingTo: costa }), costa);
  t.is(choose({ localMs: localMs - 100, spillingTo: costa }), undefined);
});

// Guards against refusals while a region is free: a busy machine delays heartbeats by seconds.
test('without a server at home a stale summary does not rule a region out', (t) => {
  const localMs = Infinity;
  t.is(choose({ localMs, regions: [createRegion({ loadAgeMs: 3_001 })] }), costa);
  t.is(choose({ localMs, regions: [createRegion({ load: { capacity: 0 } })] }), undefined);
});

test('a region that spills, is stale, full, unreachable or unknown gets nothing', (t) => {
  const localMs = 30_000;
  t.is(choose({ localMs, regions: [createRegion({ load: { spilling: true } })] }), undefined);
  t.is(choose({ localMs, regions: [createRegion({ loadAgeMs: 3_001 })] }), undefined);
  t.is(choose({ localMs, regions: [createRegion({ loadAgeMs: Number.NaN })] }), undefined);
  t.is(choose({ localMs, regions: [createRegion({ load: { capacity: 0 } })] }), undefined);
  t.is(choose({ localMs, regions: [createRegion({ roundTripMs: undefined })] }), undefined);
  t.is(choose({ localMs, regions: [createRegion({ peerUrls: [] })] }), undefined);
  t.is(choose({ localMs, regions: [{ ...createRegion(), load: undefined }] }), undefined);
  t.is(choose({ localMs, regions: [] }), undefined);
  t.is(choose({ localMs, regions: [createRegion()] }), costa);
});

test('a region that cannot answer before the deadline gets nothing', (t) => {
  t.is(choose({ localMs: Infinity, request: { deadlineAtMs: 400 } }), undefined);
  t.is(choose({ localMs: Infinity, request: { deadlineAtMs: 600 } }), costa);
});

test('an exception can turn it off', (t) => {
  const { settings } = createRequest();
  const routing = { ...settings.routing, spillEnabled: false };
  t.is(choose({ localMs: Infinity, request: { settings: { ...settings, routing } } }), undefined);
});

test('the baselines stay, or go to the least used share', (t) => {
  const regions = [
    createRegion({ load: { inUse: 8 } }),
    createRegion({ regionId: asId('sierra-norte'), load: { inUse: 4 } }),
  ];
  const facts = {
    request: createRequest(),
    nowMs: 0,
    regions,
    local: createLocal(0),
    isSpillingTo: () => false,
  };
  t.is(neverSpill(facts), undefined);
  t.is(spillToLeastLoaded(facts), asId<RegionId>('sierra-norte'));
  t.is(spillToLeastLoaded({ ...facts, local: { ...createLocal(0), inUse: 1 } }), undefined);
});
