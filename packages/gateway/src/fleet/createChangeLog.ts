import { maxWholeNumber } from '@camphorbarrow/core';
import type { StoreRevision } from '@camphorbarrow/core';

/** Maximum length of the log. A host that lags further behind gets a full snapshot. */
const MAX_CHANGES = 4_096;

/**
 * Log of recently changed keys of one era, with the revision at which this host learned of the
 * change.
 */
export interface ChangeLog {
  append(key: string, revision: StoreRevision): void;
  /** Keys that changed after the revision; undefined if the log does not go back that far. */
  since(revision: StoreRevision): ReadonlySet<string> | undefined;
  /** Starts the log anew at a listing whose differences from what was known are not in it. */
  reset(revision: StoreRevision): void;
}

/** Creates an empty log. Revisions must be appended in ascending order. */
export function createChangeLog(): ChangeLog {
  let changes: { readonly key: string; readonly revision: StoreRevision }[] = [];
  let completeSince: StoreRevision = Number.POSITIVE_INFINITY;

  return {
    append(key, revision) {
      changes.push({ key, revision });
      if (changes.length > MAX_CHANGES) {
        const dropped = changes.splice(0, MAX_CHANGES / 2);
        completeSince = maxWholeNumber(completeSince, dropped.at(-1)?.revision ?? completeSince);
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
