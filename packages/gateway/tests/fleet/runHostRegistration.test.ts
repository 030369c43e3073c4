import test from 'ava';
import { StoreUnavailableError, asId, createManualClock } from '@camphorbarrow/core';
import type { LeaseId, LogSink } from '@camphorbarrow/core';
import { runHostRegistration } from '../../src/index.js';
import type { MetadataStore } from '../../src/index.js';

const silentLog: LogSink = { info() {}, warn() {}, error() {} };
const RENEW_EVERY_MS = 3_000;

/** Runs the registration of a host against a store that fails the writes with the given numbers. */
function setUp(failingWrites: readonly number[] = [], hostCount = 1) {
  const clock = createManualClock();
  const stop = new AbortController();
  const calls: string[] = [];
  let leaseCount = 0;
  let writeCount = 0;
  let restore: () => void = () => undefined;
  const store = {
    async grantLease() {
      leaseCount += 1;
      calls.push(`grant ${leaseCount}`);
      return asId<LeaseId>(String(leaseCount));
    },
    async putLeased({ leaseId }) {
      writeCount += 1;
      calls.push(`put ${leaseId}`);
      if (failingWrites.includes(writeCount)) {
        throw new StoreUnavailableError('The store write failed with status 429.');
      }
    },
    async renewLease(leaseId) {
      calls.push(`renew ${leaseId}`);
    },
    async endLease(leaseId) {
      calls.push(`end ${leaseId}`);
    },
  } as Partial<MetadataStore> as MetadataStore;
  const running = runHostRegistration({
    clock,
    random: { next: () => 0.5 },
    log: silentLog,
    store,
    key: 'entry-hosts/a',
    value: '{}',
    leaseTtlMs: 10_000,
    renewEveryMs: RENEW_EVERY_MS,
    isRegistered: () => true,
    hostCount: () => hostCount,
    onStoreRestored(listener) {
      restore = listener;
    },
    signal: stop.signal,
  });
  const settle = (): Promise<void> =>
    new Promise((resolve) => {
      setImmediate(resolve);
    });
  return {
    calls,
    restore: () => restore(),
    async advance(durationMs: number) {
      await settle();
      clock.advance(durationMs);
      await settle();
    },
    async stop() {
      await settle();
      stop.abort();
      await running;
    },
  };
}

// The copy holds the key with its earlier lease, so the view shows the host as registered.
test('a registration whose write failed after a restore is written again', async (t) => {
  const host = setUp([2]);
  await host.advance(0);
  t.deepEqual(host.calls, ['grant 1', 'put 1']);
  host.restore();
  await host.advance(500);
  t.deepEqual(host.calls.slice(2), ['grant 2', 'put 2']);
  await host.advance(RENEW_EVERY_MS);
  t.deepEqual(host.calls.slice(4), ['grant 3', 'put 3']);
  await host.advance(RENEW_EVERY_MS);
  t.deepEqual(host.calls.slice(6), ['renew 3']);
  await host.stop();
  t.is(host.calls.at(-1), 'end 3');
});

// 1,100 hosts would otherwise make 2,200 writes within a second; the store takes 400.
test('the registrations of a large fleet are spread after a restore of the store', async (t) => {
  const host = setUp([], 1_100);
  await host.advance(0);
  host.restore();
  await host.advance(5_400);
  t.deepEqual(host.calls, ['grant 1', 'put 1']);
  await host.advance(200);
  t.deepEqual(host.calls.slice(2), ['grant 2', 'put 2']);
  await host.stop();
});
