import type { CustomerId } from '../ids/CustomerId.js';
import { asId } from '../ids/asId.js';
import type { FleetDocument, StoredFleetDocument } from './FleetDocument.js';

/** Adds the lookup indexes to a stored document. */
export function createFleetDocument(stored: StoredFleetDocument): FleetDocument {
  const customerByKeySha256 = new Map(
    Object.entries(stored.defaults.customers).map(([id, customer]) => [
      customer.keySha256,
      asId<CustomerId>(id),
    ]),
  );
  return { ...stored, customerByKeySha256 };
}
