import type { Clock, LogSink } from '@camphorbarrow/core';
import { StoreHistoryLostError } from '../errors/StoreHistoryLostError.js';
import { printPosition } from '../model/printPosition.js';
import type { MetadataStore } from '../ports/MetadataStore.js';
import type { FleetView } from './createFleetView.js';

export interface StoreFollowerOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly store: MetadataStore;
  readonly view: FleetView;
  /** Maximum duration of one watch call; short enough to detect a dead connection. */
  readonly watchWaitMs: number;
  /** Pause between two watch calls, to batch changes, because every call is charged. */
  readonly watchPauseMs: number;
  /** Pause after a failed call. */
  readonly retryPauseMs: number;
  /**
   * Updates the view from a peer that reads the store for this region. Returns false if the view
   * is not fresh afterwards, so that this host has to read the store itself.
   */
  readonly syncFromPeer: () => Promise<boolean>;
  readonly signal: AbortSignal;
}

/** Empty prefix: one watch covers the configuration, the servers and the entry hosts. */
const ALL_KEYS = '';

/** Keeps the view up to date from the store until the signal aborts. */
export async function runStoreFollower(options: StoreFollowerOptions): Promise<void> {
  const { clock, log, store, view, signal } = options;
  let historyLost = false;
  let wasReachable: boolean | undefined;

  function setReachable(isReachable: boolean, error?: unknown): void {
    if (!isReachable) {
      view.recordStoreUnavailable((error as Error).message);
    }
    if (isReachable !== wasReachable) {
      wasReachable = isReachable;
      if (isReachable) {
        log.info('store-reached', printPosition(view.position()));
      } else {
        log.error('store-unreachable', printPosition(view.position()), error);
      }
    }
  }

  async function readStore(): Promise<void> {
    if (historyLost || view.position().revision === 0) {
      view.applyListing(await store.list(ALL_KEYS));
      historyLost = false;
      return;
    }
    view.applyChanges(await store.waitForChanges(ALL_KEYS, view.position(), options.watchWaitMs));
  }

  while (!signal.aborted) {
    try {
      if (await options.syncFromPeer()) {
        await clock.sleep(options.watchPauseMs, signal);
        continue;
      }
      await readStore();
      setReachable(true);
      await clock.sleep(options.watchPauseMs, signal);
    } catch (error) {
      if (signal.aborted) {
        return;
      }
      if (error instanceof StoreHistoryLostError) {
        log.warn('store-history-lost', printPosition(view.position()));
        historyLost = true;
      } else {
        setReachable(false, error);
        await clock.sleep(options.retryPauseMs, signal).catch(() => undefined);
      }
    }
  }
}
