import { EventEmitter, once } from 'node:events';
import type { RelayEndpoint } from './RelayOptions.js';
import type { RelayRule } from './RelayRule.js';

export interface RelayRules {
  set(id: string, rule: RelayRule): void;
  remove(id: string): void;
  delayMs(from: RelayEndpoint, to: RelayEndpoint): number;
  cut(from: RelayEndpoint, to: RelayEndpoint): RelayRule['cut'];
  /** Resolves when no cut applies; rejects when the signal aborts. */
  waitUntilOpen(from: RelayEndpoint, to: RelayEndpoint, signal: AbortSignal): Promise<void>;
}

/** Name and region of a source whose address is not in the relay's options. */
export const UNKNOWN_SOURCE = 'unknown';

export function matchesEndpoint(selector: string, endpoint: RelayEndpoint): boolean {
  return selector === '*' || selector === endpoint.name || selector === endpoint.region;
}

/** Holds the current rules and notifies waiting connections when they change. */
export function createRelayRules(regionDelayMs: number): RelayRules {
  const rules = new Map<string, RelayRule>();
  const changes = new EventEmitter();
  changes.setMaxListeners(0);

  function matching(from: RelayEndpoint, to: RelayEndpoint): RelayRule[] {
    return [...rules.values()].filter(
      (rule) => matchesEndpoint(rule.from, from) && matchesEndpoint(rule.to, to),
    );
  }

  function isBetweenRegions(from: RelayEndpoint, to: RelayEndpoint): boolean {
    const regions = [from.region, to.region];
    return from.region !== to.region && !regions.includes(UNKNOWN_SOURCE);
  }

  function cut(from: RelayEndpoint, to: RelayEndpoint): RelayRule['cut'] {
    return matching(from, to).find((rule) => rule.cut !== undefined)?.cut;
  }

  return {
    set(id, rule) {
      rules.delete(id);
      rules.set(id, rule);
      changes.emit('change');
    },
    remove(id) {
      rules.delete(id);
      changes.emit('change');
    },
    delayMs(from, to) {
      const rule = matching(from, to).findLast(({ delayMs }) => delayMs !== undefined);
      return rule?.delayMs ?? (isBetweenRegions(from, to) ? regionDelayMs : 0);
    },
    cut,
    async waitUntilOpen(from, to, signal) {
      while (cut(from, to) !== undefined) {
        await once(changes, 'change', { signal });
      }
    },
  };
}
