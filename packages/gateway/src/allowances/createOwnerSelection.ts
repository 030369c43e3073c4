import type { Clock, HostId } from '@camphorbarrow/core';
import { memoizeLatest } from '../fleet/memoizeLatest.js';
import { rankByRendezvous } from '../routing/rankByRendezvous.js';
import { SLOT_COUNT } from './allowanceSlots.js';

/** Time without an answer after which another host is asked. */
const SILENCE_MS = 400;
/** Requests without an answer after which a host counts as silent, because datagrams get lost. */
const MIN_UNANSWERED = 3;
/** A host that is heard of again is asked again after this time. */
const MIN_SILENT_MS = 1_000;
/** Silent hosts after which this host relies on itself for a while, if none answers. */
const MAX_SILENT_HOSTS = 2;
const ALONE_MS = 1_000;

export interface OwnerSelectionOptions {
  readonly clock: Clock;
  readonly ownId: HostId;
  /** Hosts of this region that may own allowances in this host's view; the same array until they change. */
  readonly candidates: () => readonly HostId[];
  /** Monotonic time at which the host was last heard of; undefined if never. */
  readonly lastHeardAtMs: (host: HostId) => number | undefined;
}

/** Selection of the host of the region that owns a part of the customers' allowances. */
export interface OwnerSelection {
  select(slot: number): HostId;
  /** Host that would be selected if all answered. */
  best(slot: number): HostId;
  recordRequest(host: HostId): void;
  recordAnswer(host: HostId): void;
}

/** Rendezvous key of a part of the customers. */
export const slotKey = (slot: number): string => `allowances/${slot}`;

/**
 * Creates a selection by rendezvous hashing that leaves out hosts which do not answer this host. Hosts
 * need not agree on it.
 */
export function createOwnerSelection(options: OwnerSelectionOptions): OwnerSelection {
  const { clock, ownId } = options;
  const silentSinceMs = new Map<HostId, number>();
  const unanswered = new Map<HostId, { readonly sinceMs: number; count: number }>();
  const rankings = Array.from({ length: SLOT_COUNT }, (_, slot) =>
    memoizeLatest(
      options.candidates,
      (hosts) => rankByRendezvous(slotKey(slot), hosts) as HostId[],
    ),
  );
  const rankingOf = (slot: number): readonly HostId[] => rankings[slot]?.() ?? [];
  let answeredAtMs = -Infinity;
  let aloneUntilMs = -Infinity;

  function isSilent(host: HostId): boolean {
    const sinceMs = silentSinceMs.get(host);
    if (sinceMs === undefined) {
      return false;
    }
    if ((options.lastHeardAtMs(host) ?? -Infinity) > sinceMs + MIN_SILENT_MS) {
      silentSinceMs.delete(host);
      return false;
    }
    return true;
  }

  return {
    select(slot) {
      if (clock.monotonicMs() < aloneUntilMs) {
        return ownId;
      }
      return rankingOf(slot).find((host) => host === ownId || !isSilent(host)) ?? ownId;
    },
    best: (slot) => rankingOf(slot)[0] ?? ownId,
    recordRequest(host) {
      const nowMs = clock.monotonicMs();
      const open = unanswered.get(host) ?? { sinceMs: nowMs, count: 0 };
      if (open.count >= MIN_UNANSWERED && nowMs - open.sinceMs >= SILENCE_MS) {
        silentSinceMs.set(host, nowMs);
        unanswered.delete(host);
        const silentCount = [...silentSinceMs.keys()].filter(isSilent).length;
        if (silentCount >= MAX_SILENT_HOSTS && nowMs - answeredAtMs > SILENCE_MS) {
          aloneUntilMs = nowMs + ALONE_MS;
        }
        return;
      }
      open.count += 1;
      unanswered.set(host, open);
    },
    recordAnswer(host) {
      unanswered.delete(host);
      silentSinceMs.delete(host);
      answeredAtMs = clock.monotonicMs();
      aloneUntilMs = -Infinity;
    },
  };
}
