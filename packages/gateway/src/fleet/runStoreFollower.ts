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
  /**
   * Takes news from a peer that reads the store for this region. Returns whether they are fresh;
   * false when this host has to read the store itself.
   */
  readonly syncFromPeer: () => Promise<boolean>;
  readonly signal: AbortSignal;
}

/** All keys: configuration, servers and entry hosts come with one watch. */
const ALL_KEYS = '';

/** Keeps the view up to date from the store until the signal aborts. */
export async function runStoreFollower(options: StoreFollowerOptions): Promise<void> {
  const { clock, log, store, view, signal } = options;
  let historyLost = false;
  let reachable: boolean | undefined;

  function noteReachable(now: boolean, error?: unknown): void {
    if (!now) {
      view.recordStoreUnavailable();
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
    if (historyLost || view.revision() === 0) {
      view.applyListing(await store.list(ALL_KEYS));
      historyLost = false;
      return;
    }
    view.applyChanges(await store.waitForChanges(ALL_KEYS, view.revision(), options.watchWaitMs));
  }

  while (!signal.aborted) {
    try {
      if (await options.syncFromPeer()) {
        await clock.sleep(options.watchPauseMs, signal);
        continue;
      }
      await readOnce();
      noteReachable(true);
      await clock.sleep(options.watchPauseMs, signal);
    } catch (error) {
      if (signal.aborted) {
        return;
      }
      if (error instanceof StoreHistoryLostError) {
        log.warn('store-history-lost', { revision: view.revision() });
        historyLost = true;
      } else {
        noteReachable(false, error);
        await clock.sleep(options.retryPauseMs, signal).catch(() => undefined);
      }
    }
  }
}
