import test from 'ava';
import { createConfigState } from '../../src/config/createConfigState.js';
import { createConfigStoreSync } from '../../src/config/createConfigStoreSync.js';
import { CONFIGURATION_KEY } from '../../src/config/configurationKey.js';
import type { WatchEvent } from '../../src/ports/KeyValueStore.js';
import type { LogSink } from '../../src/ports/LogSink.js';
import type { Clock } from '../../src/ports/Clock.js';
import { createFakeStore } from './createFakeStore.js';

const log: LogSink = { info: () => {}, warn: () => {}, error: () => {} };

const turn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Clock whose sleeps end in the next turn, unless they are the follower's polls. */
const clock: Clock = {
  nowMs: () => 0,
  monotonicMs: () => 0,
  sleep: (_durationMs, signal) =>
    signal?.aborted === true ? Promise.reject(new Error('aborted')) : turn(),
};

const documentOf = (version: number): string =>
  JSON.stringify({ version, changeId: `c${version}`, defaults: {} });

function createSync() {
  const store = createFakeStore(turn);
  const state = createConfigState(log);
  const watches: AbortSignal[] = [];
  const queue: WatchEvent[] = [];
  async function* watch(_prefix: string, signal: AbortSignal): AsyncGenerator<WatchEvent, void> {
    watches.push(signal);
    while (!signal.aborted) {
      const event = queue.shift();
      if (event !== undefined) {
        yield event;
      }
      await turn();
    }
  }
  const follower = createConfigStoreSync({
    clock,
    log,
    state,
    store: Object.assign(store, { watch }),
    random: { next: () => 0 },
    hostCount: () => 1,
  });
  async function put(version: number): Promise<number> {
    const head = await store.get(CONFIGURATION_KEY);
    const result = await store.compareAndSwap({
      key: CONFIGURATION_KEY,
      expectedRevision: head?.modRevision ?? 0,
      value: documentOf(version),
    });
    return result.swapped ? result.modRevision : 0;
  }
  async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
      await turn();
    }
  }
  return { store, state, follower, watches, queue, put, until };
}

test('a change that only a poll brings is adopted and the silent watch is reopened', async (t) => {
  const { state, follower, watches, put, until } = createSync();
  await put(1);
  follower.start();
  await until(() => state.document()?.version === 1 && watches.length === 1);
  await put(2);
  await until(() => state.document()?.version === 2 && watches.length === 2);
  t.true(watches[0]?.aborted);
  await follower.close();
});

test('a change that the watch brings is adopted without a new watch', async (t) => {
  const { state, follower, watches, queue, put, until } = createSync();
  await put(1);
  follower.start();
  await until(() => state.document()?.version === 1);
  const event = { kind: 'put', key: CONFIGURATION_KEY, value: documentOf(2) } as const;
  queue.push({ ...event, modRevision: 99 });
  await until(() => state.document()?.version === 2);
  t.is(watches.length, 1);
  await follower.close();
});

test('an older document from a late watch event is neither adopted nor written over', async (t) => {
  // Guards against write-back on events, which may be behind the store.
  const { store, state, follower, queue, put, until } = createSync();
  await put(2);
  follower.start();
  await until(() => state.document()?.version === 2);
  const event = { kind: 'put', key: CONFIGURATION_KEY, value: documentOf(1) } as const;
  queue.push({ ...event, modRevision: 1 });
  await until(() => queue.length === 0);
  await turn();
  t.is(state.document()?.version, 2);
  t.is(store.writes, 1);
  await follower.close();
});

test('an outage of the store is shown and ends', async (t) => {
  const { store, follower, put } = createSync();
  await put(1);
  await follower.poll();
  t.true(follower.storeReachable());
  store.unavailable = true;
  await follower.poll();
  t.false(follower.storeReachable());
  store.unavailable = false;
  await follower.poll();
  t.true(follower.storeReachable());
});
