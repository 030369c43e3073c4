import { createHash } from 'node:crypto';

const BLOCK_CHARACTERS = 1024;
const HASH_CHARACTERS = 16;
const MAX_EVENTS = 4096;

export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  readonly blockHash: string;
}

export interface PrefixCache {
  /** Stores the prompt's blocks; returns how many characters of its prefix were already cached. */
  cachePrompt(model: string, prompt: string): number;
  eventsAfter(sequence: number): readonly CacheEvent[];
}

/**
 * Creates a least-recently-used cache of prompt prefix blocks that reports its changes. One in
 * `gapEvery` changes is not reported.
 */
export function createPrefixCache(maxBlocks: number, gapEvery = Infinity): PrefixCache {
  const blocks = new Map<string, true>();
  const events: CacheEvent[] = [];
  let sequence = 0;

  function record(kind: CacheEvent['kind'], blockHash: string): void {
    sequence += 1;
    if (sequence % gapEvery === 0) {
      return;
    }
    events.push({ sequence, kind, blockHash });
    if (events.length > MAX_EVENTS) {
      events.shift();
    }
  }

  function touch(hash: string): boolean {
    const present = blocks.delete(hash);
    blocks.set(hash, true);
    if (!present) {
      record('stored', hash);
    }
    if (blocks.size > maxBlocks) {
      const [oldest] = blocks.keys();
      blocks.delete(oldest as string);
      record('removed', oldest as string);
    }
    return present;
  }

  return {
    cachePrompt(model, prompt) {
      let cached = 0;
      let previous = model;
      let prefixPresent = true;
      for (let at = 0; at + BLOCK_CHARACTERS <= prompt.length; at += BLOCK_CHARACTERS) {
        previous = createHash('sha256')
          .update(previous)
          .update(prompt.slice(at, at + BLOCK_CHARACTERS))
          .digest('hex')
          .slice(0, HASH_CHARACTERS);
        prefixPresent = touch(previous) && prefixPresent;
        cached += prefixPresent ? BLOCK_CHARACTERS : 0;
      }
      return cached;
    },
    eventsAfter: (after) => events.filter((event) => event.sequence > after),
  };
}
