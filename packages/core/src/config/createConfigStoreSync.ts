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
  /** Entry hosts that share the store, this one included. */
  readonly hostCount: () => number;
}

export interface ConfigStoreSync {
  /** Whether the last call to the store was answered. */
  storeReachable(): boolean;
  /** Compares the store with the document in force once, adopts or writes back. */
  poll(): Promise<void>;
  /** Starts watch and polls in the background. */
  start(): void;
  close(): Promise<void>;
}

const WATCH_RETRY_MS = 500;
const MIN_POLL_INTERVAL_MS = 2_000;
/** Polls of all entry hosts together, out of the store's 2,000 reads per second. */
const POLLS_PER_SECOND = 200;
const MS_PER_SECOND = 1_000;
/** Every so many polls the whole document is read, because a restored store reuses revisions. */
const POLLS_PER_FULL_READ = 30;
const WRITE_BACK_DELAY_PER_HOST_MS = 5;
const MAX_WRITE_BACK_DELAY_MS = 2_000;

/**
 * Creates the follower of the document in the store. The watch brings changes at once. Polls bound
 * the delay when the watch has gone silent, and find a store that was restored with old data.
 */
export function createConfigStoreSync(options: ConfigStoreSyncOptions): ConfigStoreSync {
  const { clock, random, log, store, state, hostCount } = options;
  const stopping = new AbortController();
  const tasks: Promise<void>[] = [];
  let watching = new AbortController();
  let seenRevision: StoreRevision | undefined;
  /** Document that the store held at `seenRevision`. */
  let seenDocument: ConfigRevision | undefined;
  let pollsUntilFullRead = 0;
  let reachable = false;

  function setReachable(now: boolean, error?: unknown): void {
    if (now !== reachable) {
      reachable = now;
      log.info(now ? 'store-reachable' : 'store-unreachable', {
        error: error === undefined ? undefined : String(error),
      });
    }
  }

  function isStoreOlder(): boolean {
    return compareRevisions(seenDocument, state.document()) < 0;
  }

  /** Adopts what the store holds or held. */
  function take(found: KeyValue | undefined): void {
    const { document, revision } = parseStoredDocument(found?.value);
    seenRevision = found?.modRevision ?? 0;
    seenDocument = revision;
    if (found !== undefined && document === undefined) {
      log.error('configuration-invalid', { version: revision?.version });
    }
    if (document !== undefined) {
      state.adopt(document);
    }
  }

  async function writeBack(found: KeyValue | undefined): Promise<void> {
    const maxDelayMs = Math.min(
      hostCount() * WRITE_BACK_DELAY_PER_HOST_MS,
      MAX_WRITE_BACK_DELAY_MS,
    );
    // Spreads the hosts, so that usually one writes and the others find its write.
    await clock.sleep(random.next() * maxDelayMs, stopping.signal);
    const expectedRevision = found?.modRevision ?? 0;
    const current = await store.get(CONFIGURATION_KEY, { keyOnly: true });
    const document = state.document();
    if (document === undefined || (current?.modRevision ?? 0) !== expectedRevision) {
      return;
    }
    const value = encodeDocument(document);
    const result = await store.compareAndSwap({ key: CONFIGURATION_KEY, expectedRevision, value });
    if (result.swapped) {
      seenRevision = result.modRevision;
      seenDocument = document;
      log.warn('configuration-written-back', { version: document.version });
    }
  }

  async function read(): Promise<void> {
    const found = await store.get(CONFIGURATION_KEY);
    pollsUntilFullRead = POLLS_PER_FULL_READ;
    take(found);
    if (isStoreOlder()) {
      await writeBack(found);
    }
  }

  async function comparePoll(): Promise<void> {
    pollsUntilFullRead -= 1;
    if (seenRevision === undefined || pollsUntilFullRead <= 0 || isStoreOlder()) {
      await read();
      return;
    }
    const head = await store.get(CONFIGURATION_KEY, { keyOnly: true });
    if ((head?.modRevision ?? 0) !== seenRevision) {
      // The watch did not bring this change, so its connection may have gone silent.
      watching.abort();
      await read();
    }
  }

  async function poll(): Promise<void> {
    try {
      await comparePoll();
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
        (hostCount() / POLLS_PER_SECOND) * MS_PER_SECOND,
      );
      const jitter = 0.75 + random.next() / 4;
      await clock.sleep(intervalMs * jitter, stopping.signal).catch(() => undefined);
    }
  }

  async function watchOnce(): Promise<void> {
    watching = new AbortController();
    const signal = AbortSignal.any([stopping.signal, watching.signal]);
    for await (const event of store.watch(CONFIGURATION_KEY, signal)) {
      if (event.key === CONFIGURATION_KEY && event.kind === 'put') {
        take(event);
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
      await clock.sleep(WATCH_RETRY_MS, stopping.signal).catch(() => undefined);
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
