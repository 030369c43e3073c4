import type { KeyValue, StoreRevision, WatchEvent } from '@camphorbarrow/core';
import type { StoreChanges, StoreListing } from '../ports/MetadataStore.js';

/** Local copy of the store's items. Older revisions never replace newer ones. */
export interface Replica {
  /** Revision up to which all changes are known; 0 before the first listing. */
  revision(): StoreRevision;
  /** Merges a listing of all items. Returns the changes that were not known yet. */
  applyListing(listing: StoreListing): readonly WatchEvent[];
  /** Merges changes that follow `revision()`. Returns those that were not known yet. */
  applyChanges(changes: StoreChanges): readonly WatchEvent[];
  /** All items, for a host that needs a full snapshot. */
  items(): readonly KeyValue[];
  get(key: string): KeyValue | undefined;
  /** Revision at which a key was removed; undefined if it exists or never existed. */
  removedAt(key: string): StoreRevision | undefined;
}

/**
 * Creates an empty replica. Listings can come from the store or from peers that are ahead of or
 * behind this host, so revisions are compared per key.
 */
export function createReplica(): Replica {
  const items = new Map<string, KeyValue>();
  /** Revisions at which keys were removed, to ignore older versions of them. */
  const removals = new Map<string, StoreRevision>();
  let revision = 0;

  function merge(event: WatchEvent): boolean {
    const known = items.get(event.key)?.modRevision ?? removals.get(event.key) ?? 0;
    if (event.modRevision <= known) {
      return false;
    }
    if (event.kind === 'put') {
      removals.delete(event.key);
      items.set(event.key, event);
      return true;
    }
    removals.set(event.key, event.modRevision);
    return items.delete(event.key);
  }

  return {
    revision: () => revision,
    applyListing(listing) {
      const listed = new Set(listing.items.map(({ key }) => key));
      const removed = [...items.values()]
        .filter(({ key, modRevision }) => !listed.has(key) && modRevision <= listing.revision)
        .map(({ key }) => ({
          kind: 'delete' as const,
          key,
          value: '',
          modRevision: listing.revision,
        }));
      const added = listing.items.map((item) => ({ kind: 'put' as const, ...item }));
      revision = Math.max(revision, listing.revision);
      return [...removed, ...added].filter(merge);
    },
    applyChanges(changes) {
      revision = Math.max(revision, changes.revision);
      return changes.events.filter(merge);
    },
    items: () => [...items.values()],
    get: (key) => items.get(key),
    removedAt: (key) => removals.get(key),
  };
}
