import type { Clock, LogSink } from '@camphorbarrow/core';
import { StoreHistoryLostError } from '../errors/StoreHistoryLostError.js';
import type { MetadataStore } from '../ports/MetadataStore.js';
import type { FleetView } from './createFleetView.js';

export interface StoreFollowerOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly store: MetadataStore;
  readonly view: FleetView;
  /** Longest wait of one watch; short enough that a silent connection is noticed. */
  readonly watchWaitMs: number;
  /** Pause between two watches, in which changes gather; every watch is a priced call. */
  readonly watchPauseMs: number;
  /** Pause after a failed call. */
  readonly retryPauseMs: number;
  readonly signal: AbortSignal;
}

/** All keys: configuration, servers and entry hosts come with one watch. */
const ALL_KEYS = '';

/** Keeps the view up to date from the store until the signal aborts. */
export async function runStoreFollower(options: StoreFollowerOptions): Promise<void> {
  const { clock, log, store, view, signal } = options;
  let listed = false;
  let reachable: boolean | undefined;

  function noteReachable(now: boolean, error?: unknown): void {
    if (!now) {
      view.noteStoreAway();
    }
    if (now !== reachable) {
      reachable = now;
      if (now) {
        log.info('store-reached', { revision: view.revision() });
      } else {
        log.error('store-unreachable', { revision: view.revision() }, error);
      }
    }
  }

  async function readOnce(): Promise<void> {
    if (!listed) {
      view.applyListing(await store.list(ALL_KEYS));
      listed = true;
      return;
    }
    view.applyChanges(await store.waitForChanges(ALL_KEYS, view.revision(), options.watchWaitMs));
  }

  while (!signal.aborted) {
    try {
      await readOnce();
      noteReachable(true);
      await clock.sleep(options.watchPauseMs, signal);
    } catch (error) {
      if (signal.aborted) {
        return;
      }
      if (error instanceof StoreHistoryLostError) {
        log.warn('store-history-lost', { revision: view.revision() });
        listed = false;
      } else {
        noteReachable(false, error);
        await clock.sleep(options.retryPauseMs, signal).catch(() => undefined);
      }
    }
  }
}
