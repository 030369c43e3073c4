import { maxWholeNumber } from '@camphorbarrow/core';
import type { KeyValue, StoreRevision, WatchEvent } from '@camphorbarrow/core';
import type { StorePosition } from '../model/StorePosition.js';
import type { StoreChanges, StoreListing } from '../ports/MetadataStore.js';

/** Local copy of the store's items. Older revisions of an era never replace newer ones. */
export interface Replica {
  /** Position up to which all changes are known; revision 0 before the first listing. */
  position(): StorePosition;
  /**
   * Merges a listing of all items. A listing of a later era replaces the copy; one of an earlier era
   * is ignored. Returns the changes that were not known yet.
   */
  applyListing(listing: StoreListing): readonly WatchEvent[];
  /**
   * Merges changes that follow `position()`; those of another era are ignored. Returns the ones that
   * were not known yet.
   */
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
  let position: StorePosition = { era: 0, revision: 0 };

  const advanceTo = (revision: StoreRevision): void => {
    position = { ...position, revision: maxWholeNumber(position.revision, revision) };
  };

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

  const toRemoval = (key: string, modRevision: StoreRevision): WatchEvent => ({
    kind: 'delete',
    key,
    value: '',
    modRevision,
  });
  const toPut = (item: KeyValue): WatchEvent => ({ kind: 'put', ...item });

  /** Starts anew with the items of a later era. Returns how they differ from the items before. */
  function replaceAll(listing: StoreListing): readonly WatchEvent[] {
    const known = new Map(items);
    items.clear();
    removals.clear();
    listing.items.forEach((item) => items.set(item.key, item));
    position = { era: listing.era, revision: listing.revision };
    const removed = [...known.keys()]
      .filter((key) => !items.has(key))
      .map((key) => toRemoval(key, listing.revision));
    const changed = listing.items
      .filter(({ key, value, modRevision }) => {
        const before = known.get(key);
        return before?.value !== value || before.modRevision !== modRevision;
      })
      .map(toPut);
    return [...removed, ...changed];
  }

  return {
    position: () => position,
    applyListing(listing) {
      if (listing.era > position.era) {
        return replaceAll(listing);
      }
      if (listing.era < position.era) {
        return [];
      }
      const listed = new Set(listing.items.map(({ key }) => key));
      const removed = [...items.values()]
        .filter(({ key, modRevision }) => !listed.has(key) && modRevision <= listing.revision)
        .map(({ key }) => toRemoval(key, listing.revision));
      advanceTo(listing.revision);
      return [...removed, ...listing.items.map(toPut)].filter(merge);
    },
    applyChanges(changes) {
      if (changes.era !== position.era) {
        return [];
      }
      advanceTo(changes.revision);
      return changes.events.filter(merge);
    },
    items: () => [...items.values()],
    get: (key) => items.get(key),
    removedAt: (key) => removals.get(key),
  };
}
