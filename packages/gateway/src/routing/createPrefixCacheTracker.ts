import { LRUCache } from 'lru-cache';
import type { Clock } from '@camphorbarrow/core';
import type { PromptPart } from '../model/RequestMetadata.js';
import type { CacheChange } from '../ports/CacheFeed.js';

/**
 * Assumed share of a server's KV cache that holds shared prompt parts. Running requests and their
 * own parts use the rest.
 */
const SHARED_CACHE_RATIO = 0.75;
/** Time within which a reporting engine confirms that it cached a part sent to it. */
const CONFIRMATION_TIMEOUT_MS = 2_500;

/** Tracks cached prompt parts per server, from its reports or from the requests sent to it. */
export interface PrefixCacheTracker {
  /** Number of tokens at the start of the prompt that the server has cached. */
  cachedTokens(incarnation: string, parts: readonly PromptPart[]): number;
  /** Whether the server reports its cache contents to this host. */
  hasReports(incarnation: string): boolean;
  /** Records that a prompt with these parts is being sent to the server. */
  recordPrompt(incarnation: string, parts: readonly PromptPart[], capacityTokens: number): void;
  /** Applies a report of the server. From then on reports take precedence over estimates. */
  applyReport(incarnation: string, changes: readonly CacheChange[]): void;
  /** Falls back to estimates because the reports of the server cannot be read. */
  discardReports(incarnation: string): void;
  /** Drops all that is known about the cache of one server. */
  forget(incarnation: string): void;
  /** Drops the servers with other incarnations. */
  retain(incarnations: ReadonlySet<string>): void;
}

/** Parts that several requests can share: all but the last one. */
export const sharedParts = (parts: readonly PromptPart[]): readonly PromptPart[] =>
  parts.slice(0, -1);

interface ServerCache {
  /** Parts that were sent to the server, with the time of the latest request. */
  readonly sent: LRUCache<string, { readonly tokens: number; readonly atMs: number }>;
  /** Cached tokens per part, as reported; undefined while the server does not report. */
  reported: Map<string, number> | undefined;
}

/** Creates a tracker without any entries. */
export function createPrefixCacheTracker(clock: Clock): PrefixCacheTracker {
  const servers = new Map<string, ServerCache>();

  function cacheOf(incarnation: string, capacityTokens: number): ServerCache {
    const cache = servers.get(incarnation) ?? {
      sent: new LRUCache({
        maxSize: Math.max(1, Math.round(capacityTokens * SHARED_CACHE_RATIO)),
        sizeCalculation: ({ tokens }) => Math.max(1, tokens),
      }),
      reported: undefined,
    };
    servers.set(incarnation, cache);
    return cache;
  }

  function cachedTokensOf({ sent, reported }: ServerCache, id: string): number {
    const estimate = sent.get(id);
    if (reported === undefined) {
      return estimate?.tokens ?? 0;
    }
    const isFresh =
      estimate !== undefined && clock.monotonicMs() - estimate.atMs < CONFIRMATION_TIMEOUT_MS;
    return Math.max(reported.get(id) ?? 0, isFresh ? estimate.tokens : 0);
  }

  return {
    cachedTokens(incarnation, parts) {
      const cache = servers.get(incarnation);
      if (cache === undefined) {
        return 0;
      }
      let cached = 0;
      for (let index = 0; index < parts.length - 1; index += 1) {
        const { id, tokens } = parts[index] as PromptPart;
        const cachedOfPart = Math.min(tokens, cachedTokensOf(cache, id));
        cached += cachedOfPart;
        if (cachedOfPart < tokens) {
          break;
        }
      }
      return cached;
    },
    hasReports: (incarnation) => servers.get(incarnation)?.reported !== undefined,
    recordPrompt(incarnation, parts, capacityTokens) {
      const { sent } = cacheOf(incarnation, capacityTokens);
      const atMs = clock.monotonicMs();
      // Insert the first part last, so that the parts after it are evicted before it.
      [...sharedParts(parts)].reverse().forEach(({ id, tokens }) => sent.set(id, { tokens, atMs }));
    },
    applyReport(incarnation, changes) {
      const cache = cacheOf(incarnation, Number.MAX_SAFE_INTEGER);
      const reported = cache.reported ?? new Map<string, number>();
      cache.reported = reported;
      changes.forEach(({ partId, keptTokens: tokens }) => {
        if (tokens > 0) {
          reported.set(partId, tokens);
        } else {
          reported.delete(partId);
          cache.sent.delete(partId);
        }
      });
    },
    discardReports(incarnation) {
      const cache = servers.get(incarnation);
      if (cache !== undefined) {
        cache.reported = undefined;
      }
    },
    forget(incarnation) {
      servers.delete(incarnation);
    },
    retain(incarnations) {
      [...servers.keys()]
        .filter((incarnation) => !incarnations.has(incarnation))
        .forEach((incarnation) => servers.delete(incarnation));
    },
  };
}
