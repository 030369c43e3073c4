import { StoreUnavailableError } from '../../src/errors/StoreUnavailableError.js';
import { asId } from '../../src/ids/asId.js';
import type { KeyValue, KeyValueStore, LeaseId } from '../../src/ports/KeyValueStore.js';

/**
 * Fault of a store call: the request is lost (`outage`), the response is lost after the call took
 * effect, or the call takes effect only after the client got an error.
 */
export type StoreFault = 'none' | 'outage' | 'lost-response' | 'late-effect';

export interface SimulatedStoreOptions {
  /** Resolves at a time chosen by the schedule. */
  readonly step: () => Promise<void>;
  readonly nextFault: () => StoreFault;
  /** Makes every claim succeed, to check that the property detects missing claims. */
  readonly everyClaimSucceeds?: boolean;
}

/** Creates an in-memory store in which every call can fail. */
export function createSimulatedStore(options: SimulatedStoreOptions): KeyValueStore {
  const keys = new Map<string, KeyValue>();
  let revision = 0;

  async function call<Result>(effect: () => Result): Promise<Result> {
    const fault = options.nextFault();
    await options.step();
    if (fault === 'none') {
      const result = effect();
      await options.step();
      return result;
    }
    if (fault === 'lost-response') {
      effect();
    }
    if (fault === 'late-effect') {
      void options.step().then(effect);
    }
    throw new StoreUnavailableError(fault);
  }

  return {
    get: (key) => call(() => keys.get(key)),
    list: async () => [],
    compareAndSwap: ({ key, expectedRevision, value }) =>
      call(() => {
        const current = keys.get(key);
        const matches = (current?.modRevision ?? 0) === expectedRevision;
        if (!matches && options.everyClaimSucceeds !== true) {
          return { swapped: false, current };
        }
        revision += 1;
        keys.set(key, { key, value, modRevision: revision });
        return { swapped: true, modRevision: revision };
      }),
    delete: async () => undefined,
    grantLease: () => call(() => asId<LeaseId>('lease')),
    keepAlive: async () => 1,
    revokeLease: async () => undefined,
    // eslint-disable-next-line @typescript-eslint/no-empty-function -- nothing is watched here
    async *watch() {},
    close: async () => undefined,
  };
}
