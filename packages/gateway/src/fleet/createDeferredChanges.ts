import type { Clock, WatchEvent } from '@camphorbarrow/core';

/**
 * Time for which what this host knew goes before the contradicting content of a restored copy. The
 * operator and the servers write again within it, and entries of servers that are gone expire.
 */
export const RESTORED_COPY_GRACE_MS = 10_000;

/** Changes that wait until it is clear whether they are outdated. */
export interface DeferredChanges {
  defer(event: WatchEvent): void;
  /** Drops the change of a key, because the key was written since. */
  drop(key: string): void;
  /** Removes and returns all changes. */
  takeAll(): readonly WatchEvent[];
  /** Removes and returns the changes whose time is over. */
  takeDue(): readonly WatchEvent[];
}

/** Creates an empty set of deferred changes. */
export function createDeferredChanges(clock: Clock): DeferredChanges {
  const deferred = new Map<string, { readonly event: WatchEvent; readonly dueAtMs: number }>();

  return {
    defer(event) {
      deferred.set(event.key, { event, dueAtMs: clock.monotonicMs() + RESTORED_COPY_GRACE_MS });
    },
    drop(key) {
      deferred.delete(key);
    },
    takeAll() {
      const all = [...deferred.values()].map(({ event }) => event);
      deferred.clear();
      return all;
    },
    takeDue() {
      const nowMs = clock.monotonicMs();
      const due = [...deferred.values()].filter(({ dueAtMs }) => dueAtMs <= nowMs);
      due.forEach(({ event }) => deferred.delete(event.key));
      return due.map(({ event }) => event);
    },
  };
}
