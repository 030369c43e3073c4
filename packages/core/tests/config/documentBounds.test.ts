import test from 'ava';
import type { ConfigOperation } from '../../src/config/ConfigOperation.js';
import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import { DocumentTooLargeError } from '../../src/errors/DocumentTooLargeError.js';
import { createChange, createFleetAt, hostAt, storedDocument } from './changes.js';
import { createFakeFleet } from './createFakeFleet.js';

test('a document above the size limit of the store is rejected', async (t) => {
  const fleet = createFakeFleet(1);
  const customers = Object.fromEntries(
    Array.from({ length: 12_000 }, (_, index) => [
      `workshop-${index}`,
      { keySha256: index.toString(16).padStart(64, '0') },
    ]),
  );
  const operation: ConfigOperation = {
    kind: 'set-defaults',
    defaults: fleetDefaultsSchema.parse({ customers }),
  };
  const error = await t.throwsAsync(hostAt(fleet, 0).propose(createChange('x', operation)), {
    instanceOf: DocumentTooLargeError,
  });
  t.regex(error.message, /at most 1000000 are allowed/);
  t.is(fleet.store.writes, 0);
});

test('the history is bounded and keeps the latest changes', async (t) => {
  const fleet = await createFleetAt(105, 1);
  const { history } = storedDocument(fleet);
  t.is(history.length, 100);
  t.is(history.at(-1)?.version, 105);
});
