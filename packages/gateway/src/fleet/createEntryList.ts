/** Entries of the store by key. */
export interface EntryList<Key, Value> {
  /** Sets an entry, or removes it if it is undefined. */
  apply(key: Key, value: Value | undefined): void;
  /** All entries; the same array until one is applied. */
  all(): readonly Value[];
}

/** Creates an empty list. */
export function createEntryList<Key, Value>(): EntryList<Key, Value> {
  const entries = new Map<Key, Value>();
  let list: readonly Value[] | undefined;

  return {
    apply(key, value) {
      list = undefined;
      if (value === undefined) {
        entries.delete(key);
      } else {
        entries.set(key, value);
      }
    },
    all() {
      list ??= [...entries.values()];
      return list;
    },
  };
}
