import { StoreUnavailableError } from '../../src/errors/StoreUnavailableError.js';
import type {
  CompareAndSwapRequest,
  CompareAndSwapResult,
  KeyValue,
  KeyValueStore,
} from '../../src/ports/KeyValueStore.js';

export interface FakeStore extends KeyValueStore {
  /** When set, every call fails and has no effect. */
  unavailable: boolean;
  /** Number of following writes whose response is lost after they were processed. */
  unansweredWrites: number;
  /** Writes that took effect so far. */
  writes: number;
  snapshot(): void;
  /** Restores the data and the revisions of the last snapshot. */
  restore(): void;
  value(key: string): string | undefined;
}

/** In-memory key-value store. `step` runs before a call takes effect and before its response. */
export function createFakeStore(step: (label: string) => Promise<void>): FakeStore {
  let keys = new Map<string, KeyValue>();
  let snapshotKeys = new Map<string, KeyValue>();
  let revision = 1;
  let snapshotRevision = 1;

  async function beginCall(fake: FakeStore, label: string): Promise<void> {
    await step(label);
    if (fake.unavailable) {
      throw new StoreUnavailableError('The store is unavailable.');
    }
  }

  const fake: FakeStore = {
    unavailable: false,
    unansweredWrites: 0,
    writes: 0,
    async get(key) {
      await beginCall(fake, 'get');
      const current = keys.get(key);
      await step('get response');
      return current;
    },
    async list() {
      return [...keys.values()];
    },
    async compareAndSwap(request: CompareAndSwapRequest): Promise<CompareAndSwapResult> {
      await beginCall(fake, 'write');
      const { key, value } = request;
      const current = keys.get(key);
      const swapped = (current?.modRevision ?? 0) === request.expectedRevision;
      if (swapped) {
        fake.writes += 1;
        revision += 1;
        keys.set(key, { key, value, modRevision: revision });
      }
      const modRevision = revision;
      const isResponseLost = fake.unansweredWrites > 0;
      fake.unansweredWrites -= isResponseLost ? 1 : 0;
      await step('write response');
      if (isResponseLost) {
        throw new StoreUnavailableError('The response was lost.');
      }
      return swapped ? { swapped, modRevision } : { swapped: false, current };
    },
    async delete(key) {
      keys.delete(key);
    },
    grantLease: () => Promise.reject(new StoreUnavailableError('Not used.')),
    keepAlive: () => Promise.resolve(0),
    revokeLease: () => Promise.resolve(),
    watch: () => {
      throw new StoreUnavailableError('Not used.');
    },
    close: () => Promise.resolve(),
    snapshot() {
      snapshotKeys = new Map(keys);
      snapshotRevision = revision;
    },
    restore() {
      keys = new Map(snapshotKeys);
      revision = snapshotRevision;
    },
    value: (key) => keys.get(key)?.value,
  };
  return fake;
}
