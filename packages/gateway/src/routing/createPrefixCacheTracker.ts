import { LRUCache } from 'lru-cache';
import type { Clock } from '@camphorbarrow/core';
import type { PromptPart } from '../model/RequestMetadata.js';
import type { CacheChange } from '../ports/CacheFeed.js';

/**
 * Share of a server's memory that shared prompt parts are believed to keep; running requests and
 * their own parts take the rest.
 */
const SHARED_MEMORY_RATIO = 0.75;
/** Time in which an engine that is followed tells of a part that was sent to it. */
const UNCONFIRMED_MS = 2_500;

/** Which shared prompt parts each server has cached, as it tells or as its requests suggest. */
export interface PrefixCacheTracker {
  /** Tokens at the start of the prompt that the server need not read again. */
  cachedTokens(incarnation: string, parts: readonly PromptPart[]): number;
  /** Whether the server tells this host what it keeps. */
  hasReports(incarnation: string): boolean;
  /** The server is about to read these parts. */
  recordPrompt(incarnation: string, parts: readonly PromptPart[], capacityTokens: number): void;
  /** The server told what it keeps; from now on its word goes before guesses. */
  applyReport(incarnation: string, changes: readonly CacheChange[]): void;
  /** The server cannot be asked; what is sent to it is all that is known. */
  discardReports(incarnation: string): void;
  /** Forgets what one server has cached. */
  forget(incarnation: string): void;
  /** Forgets servers that are not in use any more. */
  retain(incarnations: ReadonlySet<string>): void;
}

/** Parts that several requests may share: all but the last one. */
export const sharedParts = (parts: readonly PromptPart[]): readonly PromptPart[] =>
  parts.slice(0, -1);

interface ServerCache {
  /** Parts that were sent there, with the time of sending. */
  readonly sent: LRUCache<string, { readonly tokens: number; readonly atMs: number }>;
  /** Tokens kept of each part, as the server told; undefined while it is not followed. */
  told: Map<string, number> | undefined;
}

export function createPrefixCacheTracker(clock: Clock): PrefixCacheTracker {
  const servers = new Map<string, ServerCache>();

  function cacheOf(incarnation: string, capacityTokens: number): ServerCache {
    const cache = servers.get(incarnation) ?? {
      sent: new LRUCache({
        maxSize: Math.max(1, Math.round(capacityTokens * SHARED_MEMORY_RATIO)),
        sizeCalculation: ({ tokens }) => Math.max(1, tokens),
      }),
      told: undefined,
    };
    servers.set(incarnation, cache);
    return cache;
  }

  function keptTokens({ sent, told }: ServerCache, id: string): number {
    const guess = sent.get(id);
    if (told === undefined) {
      return guess?.tokens ?? 0;
    }
    const isFresh = guess !== undefined && clock.monotonicMs() - guess.atMs < UNCONFIRMED_MS;
    return Math.max(told.get(id) ?? 0, isFresh ? guess.tokens : 0);
  }

  return {
    cachedTokens(incarnation, parts) {
      const cache = servers.get(incarnation);
      if (cache === undefined) {
        return 0;
      }
      const shared = sharedParts(parts);
      const kept = shared.map(({ id, tokens }) => Math.min(tokens, keptTokens(cache, id)));
      const firstShort = shared.findIndex(({ tokens }, index) => (kept[index] ?? 0) < tokens);
      return kept
        .slice(0, firstShort < 0 ? kept.length : firstShort + 1)
        .reduce((sum, tokens) => sum + tokens, 0);
    },
    hasReports: (incarnation) => servers.get(incarnation)?.told !== undefined,
    recordPrompt(incarnation, parts, capacityTokens) {
      const { sent } = cacheOf(incarnation, capacityTokens);
      const atMs = clock.monotonicMs();
      // The first part is set last, so that the parts behind it are evicted before it.
      [...sharedParts(parts)].reverse().forEach(({ id, tokens }) => sent.set(id, { tokens, atMs }));
    },
    applyReport(incarnation, changes) {
      const cache = cacheOf(incarnation, Number.MAX_SAFE_INTEGER);
      const told = cache.told ?? new Map<string, number>();
      cache.told = told;
      changes.forEach(({ partId, keptTokens: tokens }) => {
        if (tokens > 0) {
          told.set(partId, tokens);
        } else {
          told.delete(partId);
          cache.sent.delete(partId);
        }
      });
    },
    discardReports(incarnation) {
      const cache = servers.get(incarnation);
      if (cache !== undefined) {
        cache.told = undefined;
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
