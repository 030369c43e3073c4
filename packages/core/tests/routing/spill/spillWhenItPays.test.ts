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

function choose(testCase: Case): RegionId | undefined {
  return spillWhenItPays({
    request: createRequest(testCase.request),
    nowMs: 0,
    local: createLocal(testCase.localMs),
    regions: testCase.regions ?? [createRegion()],
    isSpillingTo: (regionId) => regionId === testCase.spillingTo,
  });
}

// An idle region with a round trip of 160 ms takes 2 round trips and 200 ms of prefill; the minimum
// gain is 500 ms.
const THRESHOLD_MS = 320 + 200 + 500;

test('a request is forwarded only for more than the minimum gain', (t) => {
  t.is(choose({ localMs: THRESHOLD_MS - 1 }), undefined);
  t.is(choose({ localMs: THRESHOLD_MS + 10 }), costa);
});

test('a prefix that is cached in the own region counts against forwarding', (t) => {
  // The same queue, but the prompt is cached in the own region: 200 ms less.
  t.is(choose({ localMs: THRESHOLD_MS + 10 - 200 }), undefined);
});

test('a large body counts against forwarding', (t) => {
  const request = { body: 'x'.repeat(2_000_000) };
  t.is(choose({ localMs: THRESHOLD_MS + 1_000, request }), undefined);
});

test('half the minimum gain is enough for a region that already receives requests, to prevent flapping', (t) => {
  const localMs = THRESHOLD_MS - 200;
  t.is(choose({ localMs }), undefined);
  t.is(choose({ localMs, spillingTo: costa }), costa);
  t.is(choose({ localMs: localMs - 100, spillingTo: costa }), undefined);
});

// Guards against rejections while another region has free capacity: an overloaded host can delay
// heartbeats by seconds, which makes its summary stale.
test('without a server in the own region a stale summary does not exclude a region', (t) => {
  const localMs = Infinity;
  t.is(choose({ localMs, regions: [createRegion({ loadAgeMs: 3_001 })] }), costa);
  t.is(choose({ localMs, regions: [createRegion({ load: { capacity: 0 } })] }), undefined);
});

test('a region that spills, has a stale summary or no capacity, or is unreachable or unknown is not chosen', (t) => {
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

test('a region that cannot respond before the deadline is not chosen', (t) => {
  t.is(choose({ localMs: Infinity, request: { deadlineAtMs: 400 } }), undefined);
  t.is(choose({ localMs: Infinity, request: { deadlineAtMs: 600 } }), costa);
});

test('an exception in the settings can disable spilling', (t) => {
  const { settings } = createRequest();
  const routing = { ...settings.routing, spillEnabled: false };
  t.is(choose({ localMs: Infinity, request: { settings: { ...settings, routing } } }), undefined);
});

test('the baselines choose the own region, or the region with the lowest utilization', (t) => {
  const regions = [
    createRegion({ load: { inUse: 8 } }),
    createRegion({ regionId: asId('sierra-norte'), load: { inUse: 4 } }),
  ];
  const input = {
    request: createRequest(),
    nowMs: 0,
    regions,
    local: createLocal(0),
    isSpillingTo: () => false,
  };
  t.is(neverSpill(input), undefined);
  t.is(spillToLeastLoaded(input), asId<RegionId>('sierra-norte'));
  t.is(spillToLeastLoaded({ ...input, local: { ...createLocal(0), inUse: 1 } }), undefined);
});
