import type { z } from 'zod';
import type { CustomerId } from '../ids/CustomerId.js';
import type { fleetDocumentSchema } from './fleetDocumentSchema.js';

/** The configuration document as stored and as exchanged between entry hosts. */
export type StoredFleetDocument = z.infer<typeof fleetDocumentSchema>;

/** The configuration document with the lookup indexes that request handling uses. */
export interface FleetDocument extends StoredFleetDocument {
  readonly customerByKeySha256: ReadonlyMap<string, CustomerId>;
}
