import test from 'ava';
import { createFleetDocument } from '../../src/config/createFleetDocument.js';
import { effectiveDefaults } from '../../src/config/effectiveDefaults.js';
import { fleetDocumentSchema } from '../../src/config/fleetDocumentSchema.js';
import type { CustomerId } from '../../src/ids/CustomerId.js';
import type { RegionId } from '../../src/ids/RegionId.js';
import { asId } from '../../src/ids/asId.js';

const EXPIRY = '2030-01-01T00:00:00Z';

const document = createFleetDocument(
  fleetDocumentSchema.parse({
    version: 1,
    changeId: 'a',
    defaults: { admission: { maxQueuedTokens: 5_000, maxQueuedRequests: 7 } },
    exceptions: [
      {
        id: 'peak',
        reason: 'Longer queues at lunchtime',
        author: 'ana',
        scope: { region: 'costa' },
        set: { admission: { maxQueuedRequests: 900 } },
        expiresAt: EXPIRY,
      },
    ],
  }),
);
const targetIn = (region: string) => ({
  customerId: asId<CustomerId>('workshop'),
  regionId: asId<RegionId>(region),
  rank: undefined,
});
const expiryMs = Date.parse(EXPIRY);

test('an exception overrides only the fields that it sets', (t) => {
  // Guards against default values of the schema replacing the fleet's own values.
  const { admission } = effectiveDefaults(document, targetIn('costa'), expiryMs - 1);
  t.is(admission.maxQueuedRequests, 900);
  t.is(admission.maxQueuedTokens, 5_000);
});

test('an exception applies only in its scope', (t) => {
  t.deepEqual(effectiveDefaults(document, targetIn('sur'), 0), document.defaults);
});

test('expiry is checked against the given time', (t) => {
  // Guards against use of the system clock, which tests and experiments cannot control.
  t.is(effectiveDefaults(document, targetIn('costa'), 0).admission.maxQueuedRequests, 900);
  t.is(effectiveDefaults(document, targetIn('costa'), expiryMs).admission.maxQueuedRequests, 7);
});
