import type { KeyValue, KeyValueStore, LeaseId } from '../../src/ports/KeyValueStore.js';
import type { Clock } from '../../src/ports/Clock.js';
import { asId } from '../../src/ids/asId.js';

interface Entry extends KeyValue {
  readonly leaseId: LeaseId | undefined;
}

const MS_PER_SECOND = 1000;

/** In-memory key-value store that never fails; its leases expire by the given clock. */
export function createFakeStore(clock: Clock): KeyValueStore {
  const entries = new Map<string, Entry>();
  const leases = new Map<LeaseId, { ttlSeconds: number; expiresAtMs: number }>();
  let revision = 0;

  function removeExpired(): void {
    [...leases]
      .filter(([, { expiresAtMs }]) => expiresAtMs <= clock.monotonicMs())
      .forEach(([leaseId]) => leases.delete(leaseId));
    [...entries.values()]
      .filter(({ leaseId }) => leaseId !== undefined && !leases.has(leaseId))
      .forEach(({ key }) => entries.delete(key));
  }

  return {
    async get(key) {
      removeExpired();
      return entries.get(key);
    },
    async list(prefix) {
      removeExpired();
      return [...entries.values()].filter(({ key }) => key.startsWith(prefix));
    },
    async compareAndSwap({ key, expectedRevision, value, leaseId }) {
      removeExpired();
      const current = entries.get(key);
      if ((current?.modRevision ?? 0) !== expectedRevision) {
        return { swapped: false, current };
      }
      revision += 1;
      entries.set(key, { key, value, modRevision: revision, leaseId });
      return { swapped: true, modRevision: revision };
    },
    async delete(key) {
      entries.delete(key);
    },
    async grantLease(ttlSeconds) {
      const leaseId = asId<LeaseId>(`lease-${leases.size + 1}-${revision}`);
      leases.set(leaseId, {
        ttlSeconds,
        expiresAtMs: clock.monotonicMs() + ttlSeconds * MS_PER_SECOND,
      });
      return leaseId;
    },
    async keepAlive(leaseId) {
      removeExpired();
      const lease = leases.get(leaseId);
      if (lease === undefined) {
        return 0;
      }
      lease.expiresAtMs = clock.monotonicMs() + lease.ttlSeconds * MS_PER_SECOND;
      return lease.ttlSeconds;
    },
    async revokeLease(leaseId) {
      leases.delete(leaseId);
      removeExpired();
    },
    async *watch() {
      yield* [];
    },
    close: () => Promise.resolve(),
  };
}
