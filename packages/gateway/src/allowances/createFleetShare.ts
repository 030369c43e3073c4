import type { Clock, HostId } from '@camphorbarrow/core';
import { SENDER_SETTLE_MS } from '../limits/createSenderSelection.js';
import { MAX_DELEGATED_MS } from './createDelegatedShare.js';

/**
 * Time for which a host that is no longer registered keeps its part of the rate: it may be cut off from
 * the store and still serve callers.
 */
export const LOST_HOST_RETENTION_MS = 600_000;

export interface FleetShareOptions {
  readonly clock: Clock;
  readonly ownId: HostId;
  /** Entry hosts of all regions that are registered in the store. */
  readonly registeredHosts: () => readonly HostId[];
  /** Whether the host, also this one, rejects new requests before its process ends. */
  readonly isClosing: (host: HostId) => boolean;
}

/** This host's part of the rates of all customers: the same for each host of the fleet. */
export interface FleetShare {
  /** Number of hosts that share the rates. */
  hostCount(): number;
  /** Whether this host has its part, because all others count it. */
  isSettled(): boolean;
  /** Takes the time since the last call, for which this host has its part of the rates, in ms. */
  takeElapsedMs(): number;
  /** Takes the registered hosts into account. */
  observe(): void;
}

/** Creates the share of a host, which begins when all other hosts count it. */
export function createFleetShare(options: FleetShareOptions): FleetShare {
  const { clock, ownId } = options;
  /** Time at which the registration of each host disappeared; undefined while it is registered. */
  const removedAtMs = new Map<HostId, number | undefined>();
  let ownSinceMs: number | undefined;
  let takenAtMs = -Infinity;

  const startMs = (): number => (ownSinceMs ?? Infinity) + SENDER_SETTLE_MS;

  return {
    isSettled: () => clock.monotonicMs() >= startMs(),
    hostCount: () => Math.max(1, removedAtMs.size),
    takeElapsedMs() {
      const nowMs = clock.monotonicMs();
      if (nowMs < startMs()) {
        return 0;
      }
      const elapsedMs = nowMs - Math.max(takenAtMs, startMs());
      takenAtMs = nowMs;
      // The others share this host's part as soon as its registration has ended.
      return options.isClosing(ownId) ? 0 : Math.min(MAX_DELEGATED_MS, elapsedMs);
    },
    observe() {
      const nowMs = clock.monotonicMs();
      const registered = new Set(options.registeredHosts());
      registered.forEach((id) => removedAtMs.set(id, undefined));
      removedAtMs.forEach((removedMs, id) => {
        if (registered.has(id)) {
          return;
        }
        const sinceMs = removedMs ?? nowMs;
        removedAtMs.set(id, sinceMs);
        const isOver = id !== ownId && options.isClosing(id);
        if (isOver || nowMs - sinceMs >= LOST_HOST_RETENTION_MS) {
          removedAtMs.delete(id);
        }
      });
      if (registered.has(ownId)) {
        ownSinceMs ??= nowMs;
      }
    },
  };
}
