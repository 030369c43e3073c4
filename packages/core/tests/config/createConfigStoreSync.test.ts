import test from 'ava';
import { createConfigState } from '../../src/config/createConfigState.js';
import { createConfigStoreSync } from '../../src/config/createConfigStoreSync.js';
import { CONFIGURATION_KEY } from '../../src/config/configurationKey.js';
import type { StoreRevision, WatchEvent } from '../../src/ports/KeyValueStore.js';
import type { LogSink } from '../../src/ports/LogSink.js';
import type { Clock } from '../../src/ports/Clock.js';
import { createFakeStore } from './createFakeStore.js';

const log: LogSink = { info: () => {}, warn: () => {}, error: () => {} };

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Clock whose sleeps end in the next turn of the event loop. */
const clock: Clock = {
  nowMs: () => 0,
  monotonicMs: () => 0,
  sleep: (_durationMs, signal) =>
    signal?.aborted === true ? Promise.reject(new Error('aborted')) : nextTurn(),
};

const documentOf = (version: number): string =>
  JSON.stringify({ version, changeId: `c${version}`, defaults: {} });

function createSync() {
  const store = createFakeStore(nextTurn);
  const state = createConfigState(log);
  const watches: AbortSignal[] = [];
  const pendingEvents: WatchEvent[] = [];
  async function* watch(_prefix: string, signal: AbortSignal): AsyncGenerator<WatchEvent, void> {
    watches.push(signal);
    while (!signal.aborted) {
      const event = pendingEvents.shift();
      if (event !== undefined) {
        yield event;
      }
      await nextTurn();
    }
  }
  const sync = createConfigStoreSync({
    clock,
    log,
    state,
    store: Object.assign(store, { watch }),
    random: { next: () => 0 },
    hostCount: () => 1,
  });
  async function put(version: number): Promise<StoreRevision> {
    const current = await store.get(CONFIGURATION_KEY);
    const result = await store.compareAndSwap({
      key: CONFIGURATION_KEY,
      expectedRevision: current?.modRevision ?? 0,
      value: documentOf(version),
    });
    return result.swapped ? result.modRevision : 0;
  }
  async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await nextTurn();
    }
  }
  return { store, state, sync, watches, pendingEvents, put, waitUntil };
}

test('a change that only a poll detects is adopted and the stalled watch is reopened', async (t) => {
  const { state, sync, watches, put, waitUntil } = createSync();
  await put(1);
  sync.start();
  await waitUntil(() => state.document()?.version === 1 && watches.length === 1);
  await put(2);
  await waitUntil(() => state.document()?.version === 2 && watches.length === 2);
  t.true(watches[0]?.aborted);
  await sync.close();
});

test('a change that the watch delivers is adopted without a new watch', async (t) => {
  const { state, sync, watches, pendingEvents, put, waitUntil } = createSync();
  await put(1);
  sync.start();
  await waitUntil(() => state.document()?.version === 1);
  const event = { kind: 'put', key: CONFIGURATION_KEY, value: documentOf(2) } as const;
  pendingEvents.push({ ...event, modRevision: 99 });
  await waitUntil(() => state.document()?.version === 2);
  t.is(watches.length, 1);
  await sync.close();
});

test('an older document from a late watch event is neither adopted nor overwritten', async (t) => {
  // Guards against a write-back caused by watch events, which may lag behind the store.
  const { store, state, sync, pendingEvents, put, waitUntil } = createSync();
  await put(2);
  sync.start();
  await waitUntil(() => state.document()?.version === 2);
  const event = { kind: 'put', key: CONFIGURATION_KEY, value: documentOf(1) } as const;
  pendingEvents.push({ ...event, modRevision: 1 });
  await waitUntil(() => pendingEvents.length === 0);
  await nextTurn();
  t.is(state.document()?.version, 2);
  t.is(store.writes, 1);
  await sync.close();
});

test('an outage of the store and its end are reported', async (t) => {
  const { store, sync, put } = createSync();
  await put(1);
  await sync.poll();
  t.true(sync.storeReachable());
  store.unavailable = true;
  await sync.poll();
  t.false(sync.storeReachable());
  store.unavailable = false;
  await sync.poll();
  t.true(sync.storeReachable());
});
