import { StoreUnavailableError } from '../../src/errors/StoreUnavailableError.js';
import type {
  CompareAndSwapRequest,
  CompareAndSwapResult,
  KeyValue,
  KeyValueStore,
} from '../../src/ports/KeyValueStore.js';

export interface FakeStore extends KeyValueStore {
  /** Every call fails and has no effect. */
  unavailable: boolean;
  /** So many of the next writes take effect without an answer. */
  lostAnswers: number;
  writes: number;
  snapshot(): void;
  /** Puts the data of the last snapshot back, with its revisions. */
  restore(): void;
  value(key: string): string | undefined;
}

/** Key-value store in memory. `step` runs before a call takes effect and before it answers. */
export function createFakeStore(step: (label: string) => Promise<void>): FakeStore {
  let keys = new Map<string, KeyValue>();
  let saved = new Map<string, KeyValue>();
  let revision = 1;
  let savedRevision = 1;

  async function enter(fake: FakeStore, label: string): Promise<void> {
    await step(label);
    if (fake.unavailable) {
      throw new StoreUnavailableError('The store is down.');
    }
  }

  const fake: FakeStore = {
    unavailable: false,
    lostAnswers: 0,
    writes: 0,
    async get(key) {
      await enter(fake, 'get');
      const found = keys.get(key);
      await step('get answer');
      return found;
    },
    async list() {
      return [...keys.values()];
    },
    async compareAndSwap(request: CompareAndSwapRequest): Promise<CompareAndSwapResult> {
      await enter(fake, 'write');
      const { key, value } = request;
      const current = keys.get(key);
      const swapped = (current?.modRevision ?? 0) === request.expectedRevision;
      if (swapped) {
        fake.writes += 1;
        revision += 1;
        keys.set(key, { key, value, modRevision: revision });
      }
      const modRevision = revision;
      const isLost = fake.lostAnswers > 0;
      fake.lostAnswers -= isLost ? 1 : 0;
      await step('write answer');
      if (isLost) {
        throw new StoreUnavailableError('The answer was lost.');
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
      saved = new Map(keys);
      savedRevision = revision;
    },
    restore() {
      keys = new Map(saved);
      revision = savedRevision;
    },
    value: (key) => keys.get(key)?.value,
  };
  return fake;
}
