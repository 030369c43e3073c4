import { createHash } from 'node:crypto';
import { fleetDocumentSchema } from '@camphorbarrow/core';
import type { StoredFleetDocument } from '@camphorbarrow/core';

const MODELS = 11;
const EXCEPTIONS = 20;
const HISTORY_ENTRIES = 50;
const HOME_REGION_RATIO = 0.35;

function createItems<Item>(count: number, create: (index: number) => Item): Item[] {
  return Array.from({ length: count }, (_, index) => create(index));
}

/** Configuration with the given customers, 11 models, 20 exceptions and 50 history entries. */
export function createSampleDocument(customers: number): StoredFleetDocument {
  return fleetDocumentSchema.parse({
    version: 12_345,
    changeId: '9c1d6a0e-4b1e-4c83-8a52-000000012345',
    defaults: {
      customers: Object.fromEntries(
        createItems(customers, (index) => [
          `customer-${index}`,
          {
            keySha256: createHash('sha256').update(String(index)).digest('hex'),
            ...(index < customers * HOME_REGION_RATIO && { homeRegion: `region-${index % 24}` }),
          },
        ]),
      ),
      models: Object.fromEntries(
        createItems(MODELS, (index) => [`model-${index}`, { weights: `weights-${index}` }]),
      ),
      services: { orders: { nonRepeatableCalls: ['POST /reservations'] } },
    },
    exceptions: createItems(EXCEPTIONS, (index) => ({
      id: `exception-${index}`,
      reason: 'Longer queue during the seasonal peak',
      author: 'operator-1',
      scope: { customer: `customer-${index}`, rank: 'patient' },
      set: { admission: { maxQueuedRequests: 1_024 } },
    })),
    history: createItems(HISTORY_ENTRIES, (index) => ({
      version: 12_296 + index,
      changeId: `9c1d6a0e-4b1e-4c83-8a52-0000000${12_296 + index}`,
      author: 'operator-1',
      summary: 'set admission.maxQueuedRequests',
      changedAt: '2026-01-01T00:00:00Z',
    })),
  });
}
