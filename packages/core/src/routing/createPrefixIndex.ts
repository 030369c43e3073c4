import type { ServerId } from '../ids/ServerId.js';
import type { CacheEvent } from '../ports/CacheEvent.js';
import { PREFIX_BLOCK_CHARACTERS } from '../requests/prefixBlockHashes.js';

export interface PrefixIndexOptions {
  /** Maximum number of entries of all servers, about 100 bytes each. @default 100000 */
  readonly maxEntries?: number;
  /** Maximum number of entries of one server. @default 4096 */
  readonly maxEntriesPerServer?: number;
}

/** Expected contents of the prefix caches of the region's engines. */
export interface PrefixIndex {
  /** Applies cache events in sequence order; events up to the last applied sequence are ignored. */
  applyEvents(serverId: ServerId, events: readonly CacheEvent[]): void;
  /** Adds the blocks of a prompt of this entry host that the server has prefilled. */
  addPrompt(serverId: ServerId, blockHashes: readonly string[]): void;
  /** Marks all entries of a server as unconfirmed, because cache events may have been lost. */
  markUnconfirmed(serverId: ServerId): void;
  /** Removes a server, for example after its restart; its event sequence then starts at 0. */
  removeServer(serverId: ServerId): void;
  /** Sequence of the last applied event; 0 without any. */
  lastSequence(serverId: ServerId): number;
  /** Expected number of cached tokens of a prompt with these blocks. */
  cachedTokens(serverId: ServerId, blockHashes: readonly string[]): number;
  entryCount(): number;
}

interface ServerEntries {
  /** Epoch of the last confirmation, by block hash; least recently confirmed first. */
  readonly blocks: Map<string, number>;
  /** Incremented when events may have been lost; entries of older epochs are unconfirmed. */
  epoch: number;
  lastSequence: number;
}

const CHARACTERS_PER_TOKEN = 4;
const TOKENS_PER_BLOCK = PREFIX_BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;
const DEFAULT_MAX_ENTRIES = 100_000;
const DEFAULT_MAX_ENTRIES_PER_SERVER = 4_096;
/** Share of an unconfirmed block's tokens that counts as cached. */
const UNCONFIRMED_WEIGHT = 0.5;

/** Creates an index of prefix blocks by server. It evicts the least recently confirmed blocks. */
export function createPrefixIndex(options: PrefixIndexOptions = {}): PrefixIndex {
  const maxEntries = options.maxEntries ?? DEFAULT_MAX_ENTRIES;
  const maxPerServer = options.maxEntriesPerServer ?? DEFAULT_MAX_ENTRIES_PER_SERVER;
  const servers = new Map<ServerId, ServerEntries>();
  let entryCount = 0;

  function entriesOf(serverId: ServerId): ServerEntries {
    const existing = servers.get(serverId);
    if (existing !== undefined) {
      return existing;
    }
    const created = { blocks: new Map<string, number>(), epoch: 0, lastSequence: 0 };
    servers.set(serverId, created);
    return created;
  }

  function remove(entries: ServerEntries, blockHash: string): void {
    if (entries.blocks.delete(blockHash)) {
      entryCount -= 1;
    }
  }

  function removeOldest(entries: ServerEntries): void {
    const [oldest] = entries.blocks.keys();
    if (oldest !== undefined) {
      remove(entries, oldest);
    }
  }

  function clear(entries: ServerEntries): void {
    entryCount -= entries.blocks.size;
    entries.blocks.clear();
  }

  function largestServer(): ServerEntries | undefined {
    return [...servers.values()].reduce<ServerEntries | undefined>(
      (best, entries) =>
        best === undefined || entries.blocks.size > best.blocks.size ? entries : best,
      undefined,
    );
  }

  function confirm(entries: ServerEntries, blockHash: string): void {
    remove(entries, blockHash);
    entries.blocks.set(blockHash, entries.epoch);
    entryCount += 1;
    if (entries.blocks.size > maxPerServer) {
      removeOldest(entries);
    }
    if (entryCount > maxEntries) {
      const victim = largestServer();
      if (victim !== undefined) {
        removeOldest(victim);
      }
    }
  }

  function apply(entries: ServerEntries, event: CacheEvent): void {
    if (event.sequence <= entries.lastSequence) {
      return;
    }
    if (event.sequence > entries.lastSequence + 1) {
      entries.epoch += 1;
    }
    entries.lastSequence = event.sequence;
    switch (event.kind) {
      case 'stored':
        return confirm(entries, event.blockHash);
      case 'removed':
        return remove(entries, event.blockHash);
      case 'cleared':
        return clear(entries);
    }
  }

  return {
    applyEvents(serverId, events) {
      const entries = entriesOf(serverId);
      [...events].sort((a, b) => a.sequence - b.sequence).forEach((event) => apply(entries, event));
    },
    addPrompt(serverId, blockHashes) {
      const entries = entriesOf(serverId);
      // Longest prefix first: the short prefixes, which other prompts share, are then evicted last.
      [...blockHashes].reverse().forEach((blockHash) => confirm(entries, blockHash));
    },
    markUnconfirmed(serverId) {
      entriesOf(serverId).epoch += 1;
    },
    removeServer(serverId) {
      const entries = servers.get(serverId);
      if (entries !== undefined) {
        clear(entries);
        servers.delete(serverId);
      }
    },
    lastSequence: (serverId) => servers.get(serverId)?.lastSequence ?? 0,
    cachedTokens(serverId, blockHashes) {
      const entries = servers.get(serverId);
      let tokens = 0;
      for (const blockHash of blockHashes) {
        const epoch = entries?.blocks.get(blockHash);
        if (epoch === undefined) {
          break;
        }
        tokens += TOKENS_PER_BLOCK * (epoch === entries?.epoch ? 1 : UNCONFIRMED_WEIGHT);
      }
      return tokens;
    },
    entryCount: () => entryCount,
  };
}
