import type { Clock, HostId } from '@camphorbarrow/core';
import { rankByRendezvous } from '../routing/rankByRendezvous.js';

/**
 * Time within which all hosts of a region learn that one of them was registered or removed: the pause of
 * a reader between two watches, the interval at which the others ask it, and transit. Also longer than
 * the second in which the requests to a cold server are counted.
 */
export const SENDER_SETTLE_MS = 1_500;
/**
 * Time for which a host that is no longer registered keeps its place; as long as no host of the region
 * is registered, all of them do. Longer than the interval at which hosts renew their registrations, so
 * that the loss of registrations in the store changes no senders.
 */
export const REMOVED_SENDER_RETENTION_MS = 5_000;
/** Maximum age of the candidates; they are needed for each server of each choice. */
const CANDIDATES_MAX_AGE_MS = 20;

export interface SenderSelectionOptions {
  readonly clock: Clock;
  readonly ownId: HostId;
  /** Entry hosts of this region that are registered in the store. */
  readonly regionHosts: () => readonly HostId[];
  /**
   * Time for which a new sender waits, by the number of hosts in the region; less than
   * `REMOVED_SENDER_RETENTION_MS`. @default `SENDER_SETTLE_MS`
   */
  readonly settleMs?: (hostCount: number) => number;
}

/** Hosts that share the rate of a server, in this host's view. */
export interface SenderSet {
  readonly senders: readonly string[];
  /** Number of hosts from which the senders were selected. */
  readonly candidateCount: number;
  /** Whether this host is one of them and may send. */
  readonly isSender: boolean;
}

/** Selection of the hosts that may send requests to a server with a limited rate. */
export interface SenderSelection {
  /** Selects up to `count` hosts for the server. */
  select(serverId: string, count: number): SenderSet;
  /** Takes the current hosts into account; has to be called regularly while nothing is selected. */
  observe(): void;
  /** Drops the selections for all other servers. */
  retain(serverIds: ReadonlySet<string>): void;
}

interface Candidate {
  /** Monotonic time at which this host saw the registration, and its removal if it was removed. */
  readonly registeredAtMs: number;
  removedAtMs: number | undefined;
}

/**
 * Creates a selection that all hosts compute alike once they know the same registrations. Until then, no
 * two hosts take the same place: a host that is replaced stops at once, and one that becomes a sender
 * waits until all others have learned of the change.
 */
export function createSenderSelection(options: SenderSelectionOptions): SenderSelection {
  const { clock, ownId, settleMs = () => SENDER_SETTLE_MS } = options;
  const candidates = new Map<HostId, Candidate>();
  const rankings = new Map<string, readonly string[]>();
  let observedAtMs = -Infinity;
  /** Whether no host of the region is registered, so that none can take the place of another. */
  let isRegionUnregistered = true;

  function observe(): void {
    const nowMs = clock.monotonicMs();
    observedAtMs = nowMs;
    const registered = new Set(options.regionHosts());
    isRegionUnregistered = registered.size === 0;
    registered.forEach((id) => {
      const candidate = candidates.get(id);
      if (candidate === undefined) {
        candidates.set(id, { registeredAtMs: nowMs, removedAtMs: undefined });
        rankings.clear();
      } else {
        candidate.removedAtMs = undefined;
      }
    });
    [...candidates]
      .filter(([id]) => !registered.has(id))
      .forEach(([id, candidate]) => {
        candidate.removedAtMs ??= nowMs;
        const removedForMs = nowMs - candidate.removedAtMs;
        if (!isRegionUnregistered && removedForMs >= REMOVED_SENDER_RETENTION_MS) {
          candidates.delete(id);
          rankings.clear();
        }
      });
  }

  /** Whether all other hosts, if there are any, count this one by now, and will for the settling time. */
  function isSettled(): boolean {
    const own = candidates.get(ownId);
    const nowMs = clock.monotonicMs();
    const waitMs = settleMs(candidates.size);
    return (
      own !== undefined &&
      (candidates.size === 1 || nowMs - own.registeredAtMs >= waitMs) &&
      (isRegionUnregistered ||
        nowMs - (own.removedAtMs ?? Infinity) < REMOVED_SENDER_RETENTION_MS - waitMs)
    );
  }

  function rank(serverId: string): readonly string[] {
    const ranking = rankings.get(serverId) ?? rankByRendezvous(serverId, [...candidates.keys()]);
    rankings.set(serverId, ranking);
    return ranking;
  }

  return {
    select(serverId, count) {
      if (clock.monotonicMs() - observedAtMs >= CANDIDATES_MAX_AGE_MS) {
        observe();
      }
      const senders = rank(serverId).slice(0, count);
      return {
        senders,
        candidateCount: candidates.size,
        isSender: senders.includes(ownId) && isSettled(),
      };
    },
    observe,
    retain(serverIds) {
      [...rankings.keys()].filter((id) => !serverIds.has(id)).forEach((id) => rankings.delete(id));
    },
  };
}
