import type { CacheEvent, RandomSource } from '@camphorbarrow/core';

const MAX_EVENTS = 4096;

export interface FakePrefixCache {
  /** Stores the blocks; returns the number of leading blocks that were present. */
  lookUpAndStore(blockHashes: readonly string[]): number;
  clear(): void;
  /** Events recorded up to a time. Lost events leave gaps in the sequence. */
  eventsAfter(sequence: number, untilMs: number): readonly CacheEvent[];
}

/** LRU cache of prefix blocks that loses a share of its events. */
export function createFakePrefixCache(options: {
  readonly maxBlocks: number;
  readonly eventLossRatio: number;
  readonly random: RandomSource;
  readonly nowMs: () => number;
}): FakePrefixCache {
  const blocks = new Set<string>();
  let events: { readonly atMs: number; readonly event: CacheEvent }[] = [];
  let sequence = 0;

  function record(kind: CacheEvent['kind'], blockHash: string): void {
    sequence += 1;
    if (options.random.next() >= options.eventLossRatio) {
      events.push({ atMs: options.nowMs(), event: { sequence, kind, blockHash } });
    }
    if (events.length > 2 * MAX_EVENTS) {
      events = events.slice(-MAX_EVENTS);
    }
  }

  return {
    lookUpAndStore(blockHashes) {
      const missing = blockHashes.findIndex((hash) => !blocks.has(hash));
      blockHashes.forEach((hash) => {
        if (!blocks.delete(hash)) {
          record('stored', hash);
        }
        blocks.add(hash);
      });
      while (blocks.size > options.maxBlocks) {
        const [oldest] = blocks;
        blocks.delete(oldest as string);
        record('removed', oldest as string);
      }
      return missing < 0 ? blockHashes.length : missing;
    },
    clear() {
      blocks.clear();
      record('cleared', '');
    },
    eventsAfter: (after, untilMs) =>
      events
        .filter(({ atMs, event }) => event.sequence > after && atMs <= untilMs)
        .map(({ event }) => event),
  };
}
