import type { StoreRevision } from '@camphorbarrow/core';

/** Changes that are remembered; a host that lags further behind is told everything. */
const MAX_CHANGES = 4_096;

/** Keys that changed of late, by the revision at which this host learned of it. */
export interface ChangeLog {
  append(key: string, revision: StoreRevision): void;
  /** Keys that changed after the revision; undefined when that is too long ago to tell. */
  since(revision: StoreRevision): ReadonlySet<string> | undefined;
  /** All changes up to the revision are known from a listing, and none of them by itself. */
  reset(revision: StoreRevision): void;
}

/** Creates an empty log. Revisions must be noted in ascending order. */
export function createChangeLog(): ChangeLog {
  let changes: { readonly key: string; readonly revision: StoreRevision }[] = [];
  let completeSince: StoreRevision = Number.POSITIVE_INFINITY;

  return {
    append(key, revision) {
      changes.push({ key, revision });
      if (changes.length > MAX_CHANGES) {
        const dropped = changes.splice(0, MAX_CHANGES / 2);
        completeSince = Math.max(completeSince, dropped.at(-1)?.revision ?? completeSince);
      }
    },
    since(revision) {
      if (revision < completeSince) {
        return undefined;
      }
      const keys = new Set<string>();
      for (let index = changes.length - 1; index >= 0; index -= 1) {
        const change = changes[index];
        if (change === undefined || change.revision <= revision) {
          break;
        }
        keys.add(change.key);
      }
      return keys;
    },
    reset(revision) {
      changes = [];
      completeSince = revision;
    },
  };
}
