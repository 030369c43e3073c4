import { LRUCache } from 'lru-cache';
import type { PromptPart } from '../model/RequestFacts.js';

/**
 * Share of a server's memory that shared prompt parts are believed to keep; running requests and
 * their own parts take the rest.
 */
const SHARED_MEMORY_RATIO = 0.75;

/** Which shared prompt parts each server has probably cached, from what was sent to it. */
export interface PrefixBook {
  /** Tokens at the start of the prompt that the server need not read again. */
  cachedTokens(incarnation: string, parts: readonly PromptPart[]): number;
  /** The server is about to read these parts. */
  record(incarnation: string, parts: readonly PromptPart[], capacityTokens: number): void;
  /** Forgets servers that are not in use any more. */
  retain(incarnations: ReadonlySet<string>): void;
}

/** Parts that several requests may share: all but the last one. */
export const sharedParts = (parts: readonly PromptPart[]): readonly PromptPart[] =>
  parts.slice(0, -1);

export function createPrefixBook(): PrefixBook {
  const servers = new Map<string, LRUCache<string, number>>();

  return {
    cachedTokens(incarnation, parts) {
      const cached = servers.get(incarnation);
      if (cached === undefined) {
        return 0;
      }
      const shared = sharedParts(parts);
      const firstMissing = shared.findIndex(({ id }) => !cached.has(id));
      return shared
        .slice(0, firstMissing < 0 ? shared.length : firstMissing)
        .reduce((sum, { tokens }) => sum + tokens, 0);
    },
    record(incarnation, parts, capacityTokens) {
      const cached =
        servers.get(incarnation) ??
        new LRUCache<string, number>({
          maxSize: Math.max(1, Math.round(capacityTokens * SHARED_MEMORY_RATIO)),
          sizeCalculation: (tokens) => Math.max(1, tokens),
        });
      servers.set(incarnation, cached);
      // The first part is set last, so that the parts behind it are evicted before it.
      [...sharedParts(parts)].reverse().forEach(({ id, tokens }) => cached.set(id, tokens));
    },
    retain(incarnations) {
      [...servers.keys()]
        .filter((incarnation) => !incarnations.has(incarnation))
        .forEach((incarnation) => servers.delete(incarnation));
    },
  };
}
