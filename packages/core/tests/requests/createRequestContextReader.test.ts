import test from 'ava';
import { createHash } from 'node:crypto';
import { createFleetDocument } from '../../src/config/createFleetDocument.js';
import { fleetDocumentSchema } from '../../src/config/fleetDocumentSchema.js';
import { asId } from '../../src/ids/asId.js';
import type { Headers } from '../../src/requests/Headers.js';
import { createRequestContextReader } from '../../src/requests/createRequestContextReader.js';

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');

const document = createFleetDocument(
  fleetDocumentSchema.parse({
    version: 1,
    changeId: 'initial',
    defaults: {
      customers: {
        workshop: { keySha256: sha256('workshop-key') },
        archive: { keySha256: sha256('archive-key'), homeRegion: 'sierra-sur' },
        local: { keySha256: sha256('local-key'), homeRegion: 'costa' },
      },
    },
  }),
);

const reader = createRequestContextReader({
  clock: { nowMs: () => 0, monotonicMs: () => 0, sleep: async () => {} },
  hostId: asId('costa-1'),
  regionId: asId('costa'),
  configuration: () => document,
  knownRegions: () => new Set([asId('sierra-sur'), asId('costa')]),
  entryHostUrls: () => [],
});

const forwarded: Headers = {
  'x-camphorbarrow-path': 'sur-1',
  'x-camphorbarrow-customer': 'workshop',
  'x-camphorbarrow-target-region': 'costa',
  'x-camphorbarrow-request-id': 'request-1',
  'x-camphorbarrow-rank': 'patient',
  'x-camphorbarrow-deadline-ms': '900',
};

test('a caller cannot set the path, the customer or the request id', (t) => {
  const context = reader.readCallerRequest({
    ...forwarded,
    authorization: 'Bearer workshop-key',
    'x-camphorbarrow-customer': 'archive',
    'x-camphorbarrow-path': 'costa-1',
  });
  t.is(String(context.customerId), 'workshop');
  t.deepEqual(context.path, []);
  t.not(String(context.requestId), 'request-1');
});

test('a forwarded request keeps its id, path, customer, rank and remaining deadline', (t) => {
  t.like(reader.readForwardedRequest(forwarded), {
    requestId: 'request-1',
    customerId: 'workshop',
    path: ['sur-1'],
    rank: 'patient',
    deadlineMs: 900,
    homeRegionId: undefined,
  });
});

test('a request that already visited this host, or made too many hops, is rejected as a loop', (t) => {
  for (const path of ['costa-1', 'sur-1, costa-1', 'sur-1,norte-1', 'a,b,c']) {
    const headers = { ...forwarded, 'x-camphorbarrow-path': path };
    t.throws(() => reader.readForwardedRequest(headers), {
      message: /visited/,
      name: 'LoopDetectedError',
    });
  }
});

test('a forwarded request without a valid path, or with two, is rejected', (t) => {
  for (const path of [undefined, '', ',', 'sur-1,', ['sur-1', 'norte-1']]) {
    const headers = { ...forwarded, 'x-camphorbarrow-path': path };
    t.throws(() => reader.readForwardedRequest(headers), { name: 'InvalidHeaderError' });
  }
});

test('a forwarded request with another target region, or with none, is rejected', (t) => {
  // Guards against serving a request in the wrong region after a peer announced a wrong region.
  for (const region of [undefined, 'sierra-norte']) {
    const headers = { ...forwarded, 'x-camphorbarrow-target-region': region };
    t.throws(() => reader.readForwardedRequest(headers), { name: 'PeerMismatchError' });
  }
});

test('a forwarded request bound to another region is rejected even if the sender did not know it', (t) => {
  const archive = { ...forwarded, 'x-camphorbarrow-customer': 'archive' };
  t.throws(() => reader.readForwardedRequest(archive), { name: 'WrongRegionError' });
  const header = { ...forwarded, 'x-camphorbarrow-home-region': 'sierra-sur' };
  t.throws(() => reader.readForwardedRequest(header), { name: 'WrongRegionError' });
  const unknown = { ...forwarded, 'x-camphorbarrow-customer': 'nobody' };
  t.throws(() => reader.readForwardedRequest(unknown), { name: 'UnauthenticatedError' });
});
