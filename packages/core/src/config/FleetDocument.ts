import type { z } from 'zod';
import type { CustomerId } from '../ids/CustomerId.js';
import type { fleetDocumentSchema } from './fleetDocumentSchema.js';

/** The configuration document as it is stored and sent between entry hosts. */
export type StoredFleetDocument = z.infer<typeof fleetDocumentSchema>;

/** The configuration document with the indexes that requests need. */
export interface FleetDocument extends StoredFleetDocument {
  readonly customerByKeySha256: ReadonlyMap<string, CustomerId>;
}
