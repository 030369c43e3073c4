import { isStoreRevision } from '../model/isStoreRevision.js';
import type { StoreUpdate } from '../model/StoreUpdate.js';

function isItem(value: unknown): boolean {
  const item = (value ?? {}) as Record<string, unknown>;
  return (
    typeof item.key === 'string' &&
    typeof item.value === 'string' &&
    isStoreRevision(item.modRevision)
  );
}

function isRemoval(value: unknown): boolean {
  const removal = (value ?? {}) as Record<string, unknown>;
  return typeof removal.key === 'string' && isStoreRevision(removal.modRevision);
}

/** A negative age would make a view seem fresh for longer than it is. */
const isAge = (value: unknown): boolean => Number.isFinite(value) && (value as number) >= 0;

const isHeard = (value: unknown): boolean =>
  Array.isArray(value) && typeof value[0] === 'string' && isAge(value[1]);

/**
 * Whether a message of a peer is a store update. An update with a malformed item is no update: the
 * host then reads the store itself, which has the item in its original form.
 */
export function isStoreUpdate(value: unknown): value is StoreUpdate {
  const update = value as Partial<StoreUpdate> | null;
  return (
    typeof update === 'object' &&
    update !== null &&
    typeof update.complete === 'boolean' &&
    isStoreRevision(update.revision) &&
    (update.era === undefined || isStoreRevision(update.era)) &&
    (update.configuration === undefined ||
      update.configuration === null ||
      (isItem(update.configuration) &&
        (update.configuration.era === undefined || isStoreRevision(update.configuration.era)))) &&
    Array.isArray(update.heard) &&
    update.heard.every(isHeard) &&
    Array.isArray(update.items) &&
    update.items.every(isItem) &&
    Array.isArray(update.removals) &&
    update.removals.every(isRemoval) &&
    [update.ageMs, update.storeAwayMs].every((age) => age === null || isAge(age))
  );
}
