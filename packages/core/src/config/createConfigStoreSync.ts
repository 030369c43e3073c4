import type { Clock } from '../ports/Clock.js';
import type { KeyValue, KeyValueStore, StoreRevision } from '../ports/KeyValueStore.js';
import type { LogSink } from '../ports/LogSink.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { ConfigRevision } from './ConfigRevision.js';
import { compareRevisions } from './compareRevisions.js';
import { CONFIGURATION_KEY } from './configurationKey.js';
import type { ConfigState } from './createConfigState.js';
import { encodeDocument } from './encodeDocument.js';
import { parseStoredDocument } from './parseStoredDocument.js';

export interface ConfigStoreSyncOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly store: KeyValueStore;
  readonly state: ConfigState;
  /** Number of entry hosts that share the store, including this one. */
  readonly hostCount: () => number;
}

export interface ConfigStoreSync {
  /** Whether the last poll of the store succeeded. */
  storeReachable(): boolean;
  /** Compares the store with the current document once, and adopts or writes back the newer one. */
  poll(): Promise<void>;
  /** Starts the watch and the polls in the background. */
  start(): void;
  close(): Promise<void>;
}

const WATCH_RETRY_DELAY_MS = 500;
const MIN_POLL_INTERVAL_MS = 2_000;
/** Poll rate of all entry hosts together; the store handles 2,000 reads per second. */
const FLEET_POLLS_PER_SECOND = 200;
const MS_PER_SECOND = 1_000;
/** Polls between reads of the whole document; needed because a restored store reuses revisions. */
const POLLS_PER_FULL_READ = 30;
const WRITE_BACK_DELAY_PER_HOST_MS = 5;
const MAX_WRITE_BACK_DELAY_MS = 2_000;

/**
 * Creates the synchronization with the document in the store. The watch delivers changes
 * immediately. Polls bound the delay when the watch has stalled, and detect a store that was
 * restored from older data.
 */
export function createConfigStoreSync(options: ConfigStoreSyncOptions): ConfigStoreSync {
  const { clock, random, log, store, state, hostCount } = options;
  const stopping = new AbortController();
  const tasks: Promise<void>[] = [];
  let watchController = new AbortController();
  let lastSeenRevision: StoreRevision | undefined;
  /** Revision of the document that the store held at `lastSeenRevision`. */
  let lastSeenDocument: ConfigRevision | undefined;
  let pollsUntilFullRead = 0;
  let reachable = false;

  function setReachable(isReachable: boolean, error?: unknown): void {
    if (isReachable !== reachable) {
      reachable = isReachable;
      log.info(isReachable ? 'store-reachable' : 'store-unreachable', {
        error: error === undefined ? undefined : String(error),
      });
    }
  }

  function isStoreOlder(): boolean {
    return compareRevisions(lastSeenDocument, state.document()) < 0;
  }

  /**
   * Records a document read from the store or from a watch event, and adopts it when it is newer.
   */
  function applyStored(keyValue: KeyValue | undefined): void {
    const { document, revision } = parseStoredDocument(keyValue?.value);
    lastSeenRevision = keyValue?.modRevision ?? 0;
    lastSeenDocument = revision;
    if (keyValue !== undefined && document === undefined) {
      log.error('configuration-invalid', { version: revision?.version });
    }
    if (document !== undefined) {
      state.adopt(document);
    }
  }

  async function writeBack(keyValue: KeyValue | undefined): Promise<void> {
    const maxDelayMs = Math.min(
      hostCount() * WRITE_BACK_DELAY_PER_HOST_MS,
      MAX_WRITE_BACK_DELAY_MS,
    );
    // A random delay per host, so that usually one host writes and the others see its write.
    await clock.sleep(random.next() * maxDelayMs, stopping.signal);
    const expectedRevision = keyValue?.modRevision ?? 0;
    const current = await store.get(CONFIGURATION_KEY, { keyOnly: true });
    const document = state.document();
    if (document === undefined || (current?.modRevision ?? 0) !== expectedRevision) {
      return;
    }
    const value = encodeDocument(document);
    const result = await store.compareAndSwap({ key: CONFIGURATION_KEY, expectedRevision, value });
    if (result.swapped) {
      lastSeenRevision = result.modRevision;
      lastSeenDocument = document;
      log.warn('configuration-written-back', { version: document.version });
    }
  }

  async function read(): Promise<void> {
    const keyValue = await store.get(CONFIGURATION_KEY);
    pollsUntilFullRead = POLLS_PER_FULL_READ;
    applyStored(keyValue);
    if (isStoreOlder()) {
      await writeBack(keyValue);
    }
  }

  async function compareWithStore(): Promise<void> {
    pollsUntilFullRead -= 1;
    if (lastSeenRevision === undefined || pollsUntilFullRead <= 0 || isStoreOlder()) {
      await read();
      return;
    }
    const current = await store.get(CONFIGURATION_KEY, { keyOnly: true });
    if ((current?.modRevision ?? 0) !== lastSeenRevision) {
      // The watch did not deliver this change, so its connection may have stalled.
      watchController.abort();
      await read();
    }
  }

  async function poll(): Promise<void> {
    try {
      await compareWithStore();
      setReachable(true);
    } catch (error) {
      if (!stopping.signal.aborted) {
        setReachable(false, error);
      }
    }
  }

  async function pollUntilClosed(): Promise<void> {
    while (!stopping.signal.aborted) {
      await poll();
      const intervalMs = Math.max(
        MIN_POLL_INTERVAL_MS,
        (hostCount() / FLEET_POLLS_PER_SECOND) * MS_PER_SECOND,
      );
      const jitter = 0.75 + random.next() / 4;
      await clock.sleep(intervalMs * jitter, stopping.signal).catch(() => undefined);
    }
  }

  async function watchOnce(): Promise<void> {
    watchController = new AbortController();
    const signal = AbortSignal.any([stopping.signal, watchController.signal]);
    for await (const event of store.watch(CONFIGURATION_KEY, signal)) {
      if (event.key === CONFIGURATION_KEY && event.kind === 'put') {
        applyStored(event);
      }
    }
  }

  async function watchUntilClosed(): Promise<void> {
    while (!stopping.signal.aborted) {
      try {
        await watchOnce();
      } catch (error) {
        log.warn('configuration-watch-broken', { error: String(error) });
      }
      await clock.sleep(WATCH_RETRY_DELAY_MS, stopping.signal).catch(() => undefined);
    }
  }

  return {
    storeReachable: () => reachable,
    poll,
    start() {
      tasks.push(watchUntilClosed(), pollUntilClosed());
    },
    async close() {
      stopping.abort();
      await Promise.all(tasks);
    },
  };
}
