import test from 'ava';
import fc from 'fast-check';
import { createFleetDocument } from '../../src/config/createFleetDocument.js';
import { fleetDocumentSchema } from '../../src/config/fleetDocumentSchema.js';
import { NoServerError } from '../../src/errors/NoServerError.js';
import { RequestError } from '../../src/errors/RequestError.js';
import type { InferenceGateway } from '../../src/gateway/createInferenceGateway.js';
import { createSpillGateway } from '../../src/gateway/createSpillGateway.js';
import type { HostId } from '../../src/ids/HostId.js';
import type { RegionId } from '../../src/ids/RegionId.js';
import { asId } from '../../src/ids/asId.js';
import type { ForwardAnswer, ForwardAttempt } from '../../src/ports/ForwardClient.js';
import { createRequestContextReader } from '../../src/requests/createRequestContextReader.js';
import { createSpillDecider } from '../../src/routing/spill/createSpillDecider.js';
import { createSeededRandom } from '../../src/time/createSeededRandom.js';
import { createRequest } from '../routing/fixtures.js';
import { createLocal, createRegion } from '../routing/spill/fixtures.js';

const silentLog = { info: () => {}, warn: () => {}, error: () => {} };
const clock = { nowMs: () => 0, monotonicMs: () => 0, sleep: async () => {} };
const noMetrics = {
  increment: () => {},
  gauge: () => {},
  timingMs: () => {},
  close: async () => {},
};
const HOSTS = 4;
const toHostId = (index: number): HostId => asId<HostId>(`host-${index}`);
const toRegionId = (index: number): RegionId => asId<RegionId>(`region-${index}`);

const document = createFleetDocument(
  fleetDocumentSchema.parse({
    version: 1,
    changeId: 'initial',
    defaults: { customers: { workshop: { keySha256: '0'.repeat(64) } } },
  }),
);

/** Entry of a host's membership view: a region and the host at its address. It may be wrong. */
interface AnnouncedRegion {
  readonly region: number;
  readonly address: number;
}

interface Fleet {
  /** Actual region of each host. */
  readonly regions: readonly number[];
  /** Membership view of each host, which may be wrong. */
  readonly views: readonly (readonly AnnouncedRegion[])[];
}

interface Visit {
  readonly path: readonly HostId[];
  readonly hostId: HostId;
}

/** Creates hosts that always try to forward according to their own membership view. */
function createFleet(fleet: Fleet, visits: Visit[], codes: string[]): InferenceGateway[] {
  const gateways: InferenceGateway[] = [];
  const readers = fleet.regions.map((region, index) =>
    createRequestContextReader({
      clock,
      hostId: toHostId(index),
      regionId: toRegionId(region),
      configuration: () => document,
      knownRegions: () => new Set(),
      entryHostUrls: () => [],
    }),
  );

  async function deliver(attempt: ForwardAttempt): Promise<ForwardAnswer> {
    const index = Number(attempt.peerUrl);
    try {
      const context = readers[index]?.readForwardedRequest({
        'x-camphorbarrow-path': attempt.path.join(','),
        'x-camphorbarrow-customer': attempt.customerId,
        'x-camphorbarrow-target-region': attempt.regionId,
        'x-camphorbarrow-request-id': attempt.requestId,
      });
      visits.push({ path: context?.path ?? [], hostId: toHostId(index) });
      const request = createRequest({ path: context?.path ?? [] });
      // Uses the spill gateway to verify that the path alone prevents a second forward.
      await gateways[index]?.handle(request, new AbortController().signal);
    } catch (error) {
      if (error instanceof RequestError) {
        const { code, outcome, statusCode, message, retryAfterMs, details } = error;
        codes.push(code);
        return { kind: 'refused', code, outcome, statusCode, message, retryAfterMs, details };
      }
      throw error;
    }
    return { kind: 'plain', statusCode: 200, body: '' };
  }

  fleet.views.forEach((view, index) => {
    const regions = view.map(({ region, address }) =>
      createRegion({ regionId: toRegionId(region), peerUrls: [String(address)] }),
    );
    gateways.push(
      createSpillGateway({
        clock,
        random: createSeededRandom(index),
        log: silentLog,
        metrics: noMetrics,
        hostId: toHostId(index),
        local: {
          handle: async () => {
            throw new NoServerError('none');
          },
        },
        forwardClient: { start: deliver, close: async () => {} },
        decider: createSpillDecider({
          policy: ({ regions: candidates }) => candidates[0]?.regionId,
          regions: () => regions,
          fleetHostCount: () => HOSTS,
        }),
        estimateLocal: () => createLocal(Infinity),
      }),
    );
  });
  return gateways;
}

const fleetArbitrary: fc.Arbitrary<Fleet> = fc.record({
  regions: fc.array(fc.nat(2), { minLength: HOSTS, maxLength: HOSTS }),
  views: fc.array(
    fc.array(fc.record({ region: fc.nat(2), address: fc.nat(HOSTS - 1) }), { maxLength: 4 }),
    { minLength: HOSTS, maxLength: HOSTS },
  ),
});

test('no request visits a host twice or is forwarded twice when membership views conflict', async (t) => {
  let visitCount = 0;
  await fc.assert(
    fc.asyncProperty(fleetArbitrary, fc.nat(HOSTS - 1), async (fleet, start) => {
      const visits: Visit[] = [];
      const gateways = createFleet(fleet, visits, []);
      await t.throwsAsync(async () =>
        gateways[start]?.handle(createRequest(), new AbortController().signal),
      );
      visits.forEach(({ path, hostId }) => {
        const visitedHosts = [...path, hostId];
        t.deepEqual(path, [toHostId(start)]);
        t.is(new Set(visitedHosts).size, visitedHosts.length);
      });
      visitCount += visits.length;
    }),
    { seed: 20_261_204, numRuns: 500 },
  );
  t.true(visitCount > 100);
});

test('a request is rejected as a loop when another region has the address of the sending host', async (t) => {
  const visits: Visit[] = [];
  const codes: string[] = [];
  // The view of host 0 has its own address for region 1.
  const fleet = { regions: [0, 1, 2, 2], views: [[{ region: 1, address: 0 }], [], [], []] };
  const [first] = createFleet(fleet, visits, codes);
  await t.throwsAsync(async () => first?.handle(createRequest(), new AbortController().signal), {
    name: 'NoServerError',
  });
  t.deepEqual(visits, []);
  t.deepEqual(codes, ['loop-detected']);
});

test('a host rejects a request that is addressed to another region', async (t) => {
  const visits: Visit[] = [];
  const codes: string[] = [];
  // Host 1 is in region 0, but the view of host 0 has it in region 1.
  const fleet = { regions: [0, 0, 2, 2], views: [[{ region: 1, address: 1 }], [], [], []] };
  const [first] = createFleet(fleet, visits, codes);
  await t.throwsAsync(async () => first?.handle(createRequest(), new AbortController().signal));
  t.deepEqual(visits, []);
  t.deepEqual(codes, ['peer-mismatch']);
});
