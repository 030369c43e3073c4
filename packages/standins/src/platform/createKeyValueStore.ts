export interface KeyValueEntry {
  readonly key: string;
  value: string;
  modRevision: number;
  createRevision: number;
  lease: string;
}

export interface StoreChange {
  readonly type: 'PUT' | 'DELETE';
  readonly entry: KeyValueEntry;
}

export interface KeyValueStore {
  revision(): number;
  range(key: string, rangeEnd: string | undefined): readonly KeyValueEntry[];
  put(key: string, value: string, lease: string): void;
  remove(key: string): void;
  grantLease(ttlSeconds: number): string;
  /** Returns the remaining seconds after the renewal, 0 for an expired lease. */
  renewLease(lease: string): number;
  revokeLease(lease: string): void;
  subscribe(listener: (change: StoreChange) => void): () => void;
  /** Serializes all entries. */
  snapshot(): string;
  /** Replaces all entries by those of a snapshot, as a restore from an old backup does. */
  restore(snapshot: string): void;
}

const MS_PER_SECOND = 1000;
const EXPIRY_CHECK_MS = 200;

/** Creates an in-memory key-value store with revisions and leases. */
export function createKeyValueStore(): KeyValueStore {
  const keys = new Map<string, KeyValueEntry>();
  const leases = new Map<string, { ttlSeconds: number; expiresAtMs: number }>();
  const listeners = new Set<(change: StoreChange) => void>();
  let revision = 1;
  let nextLease = 1;

  function notify(change: StoreChange): void {
    listeners.forEach((listener) => listener(change));
  }

  function remove(key: string): void {
    const entry = keys.get(key);
    if (entry !== undefined) {
      revision += 1;
      keys.delete(key);
      notify({ type: 'DELETE', entry: { ...entry, modRevision: revision } });
    }
  }

  function revokeLease(lease: string): void {
    leases.delete(lease);
    [...keys.values()].filter((entry) => entry.lease === lease).forEach(({ key }) => remove(key));
  }

  setInterval(() => {
    [...leases]
      .filter(([, { expiresAtMs }]) => expiresAtMs < Date.now())
      .forEach(([lease]) => revokeLease(lease));
  }, EXPIRY_CHECK_MS).unref();

  return {
    revision: () => revision,
    range: (key, rangeEnd) =>
      [...keys.values()]
        .filter((entry) =>
          rangeEnd === undefined ? entry.key === key : entry.key >= key && entry.key < rangeEnd,
        )
        .sort((a, b) => (a.key < b.key ? -1 : 1)),
    put(key, value, lease) {
      revision += 1;
      const createRevision = keys.get(key)?.createRevision ?? revision;
      const entry = { key, value, modRevision: revision, createRevision, lease };
      keys.set(key, entry);
      notify({ type: 'PUT', entry });
    },
    remove,
    grantLease(ttlSeconds) {
      const lease = String(nextLease);
      nextLease += 1;
      leases.set(lease, { ttlSeconds, expiresAtMs: Date.now() + ttlSeconds * MS_PER_SECOND });
      return lease;
    },
    renewLease(lease) {
      const found = leases.get(lease);
      if (found === undefined) {
        return 0;
      }
      found.expiresAtMs = Date.now() + found.ttlSeconds * MS_PER_SECOND;
      return found.ttlSeconds;
    },
    revokeLease,
    subscribe(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    snapshot: () => JSON.stringify([...keys.values()]),
    restore(snapshot) {
      keys.clear();
      (JSON.parse(snapshot) as KeyValueEntry[]).forEach((entry) => keys.set(entry.key, entry));
    },
  };
}
