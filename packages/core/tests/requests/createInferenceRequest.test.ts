import test from 'ava';
import { createHash } from 'node:crypto';
import { createFleetDocument } from '../../src/config/createFleetDocument.js';
import { fleetDocumentSchema } from '../../src/config/fleetDocumentSchema.js';
import { asId } from '../../src/ids/asId.js';
import { createRequestContextReader } from '../../src/requests/createRequestContextReader.js';
import { createInferenceRequest } from '../../src/requests/createInferenceRequest.js';

const document = createFleetDocument(
  fleetDocumentSchema.parse({
    version: 1,
    changeId: 'initial',
    defaults: {
      customers: { workshop: { keySha256: createHash('sha256').update('key').digest('hex') } },
      models: { small: {} },
    },
    exceptions: [
      {
        id: 'patient-once',
        author: 'operator',
        reason: 'patient work is not retried',
        scope: { rank: 'patient' },
        set: { retry: { maxAttempts: 1 } },
      },
    ],
  }),
);
const reader = createRequestContextReader({
  clock: { nowMs: () => 0, monotonicMs: () => 0, sleep: async () => {} },
  hostId: asId('costa-1'),
  regionId: asId('costa'),
  configuration: () => document,
  knownRegions: () => new Set([asId('costa')]),
  entryHostUrls: () => [],
});

// Guards against an exception that applies only when the caller sets the rank explicitly.
test('an exception for a rank applies when the rank is derived from the route', (t) => {
  const body = JSON.stringify({ model: 'small', prompt: 'x' });
  const maxAttempts = (headers: Record<string, string>): number =>
    createInferenceRequest(
      reader.readCallerRequest({ authorization: 'Bearer key', ...headers }),
      'completions',
      body,
      'record-key',
    ).settings.retry.maxAttempts;
  t.is(maxAttempts({ 'x-camphorbarrow-rank': 'patient' }), 1);
  t.is(maxAttempts({}), 1);
  t.is(maxAttempts({ 'x-camphorbarrow-rank': 'urgent' }), 3);
});
