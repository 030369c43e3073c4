import type { Clock, HostId, LogSink, MetricsSink } from '@camphorbarrow/core';
import { lifetimeId } from '../model/lifetimeId.js';
import type { ServerState } from '../model/ServerState.js';
import { HEARTBEAT_INTERVAL_MS, localReportRounds } from '../peers/reportRounds.js';
import type { LoadTracker } from '../routing/createLoadTracker.js';
import type { RejectionLimits } from './createRejectionLimits.js';
import { createSenderSelection, SENDER_SETTLE_MS } from './createSenderSelection.js';

/**
 * Time for which the place of a request that was not served stays taken: longer than the second in which
 * rejections count, so that each place stands for one rejection in it at the most. A server may also go
 * on with a request that was given up.
 */
const UNSERVED_HOLD_MS = 1_100;
/** Time that a server may take to free the slot of a request after the end of its response. */
const SERVED_HOLD_MS = 5;
/** Part of the tolerated rejections that is used; the rest is left for hosts whose views are outdated. */
const USED_REJECTIONS_RATIO = 0.5;
/** Part of its requests that a host goes on having at a server that had no room for its slots. */
const DECREASE_RATIO = 0.9;
/** Longest time until a host tries one request more at a server that had no room for its slots. */
const MAX_GROWTH_INTERVAL_MS = 3 * UNSERVED_HOLD_MS;
/** Time after a rejection in which the end of the server is taken for its consequence. */
const FAILURE_AFTER_REJECTION_MS = 1_500;

export interface ConcurrencySharesOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly ownId: HostId;
  /** Entry hosts of this region that are registered in the store. */
  readonly regionHosts: () => readonly HostId[];
  readonly loads: Pick<LoadTracker, 'ownLoad' | 'running' | 'runningOfHosts' | 'reportedWaiting'>;
  readonly limitOf: RejectionLimits['limitOf'];
}

/** How a request to a server ended. */
export type RequestEnd =
  /** The server completed its response. */
  | 'served'
  /** The server said that it has not run the request. */
  | 'rejected'
  /** Anything else: the server may still be busy with the request. */
  | 'unserved';

/** Number of requests that this host may have at servers that bear few rejections. */
export interface ConcurrencyShares {
  /**
   * Whether this host may send another request to the server now.
   *
   * @param isRepeat whether the request was sent to another server before; it then gets a slot or nothing
   */
  permits(server: ServerState, isRepeat?: boolean): boolean;
  /**
   * Records the end of a request that still counts as running; its place may stay taken for a while.
   */
  recordEnd(server: ServerState, end: RequestEnd): void;
  /** Whether the server, if it has failed now, probably did so because of its rejections. */
  failsFromRejections(server: ServerState): boolean;
  /** Drops the records of all other servers. */
  retain(servers: readonly ServerState[]): void;
}

interface Places {
  /** Slots of the server that are this host's. */
  readonly slots: number;
  /** Like `slots`, with this host's part of the requests that the server may have to reject. */
  readonly all: number;
  readonly hostCount: number;
}

interface ServerRecord {
  /** Times at which places become free again. */
  heldUntilMs: readonly number[];
  rejectedAtMs: number;
  /** Limit on this host's requests since the server rejected one that should have had a slot. */
  room: { readonly running: number; readonly atMs: number } | undefined;
}

const NO_PLACES: Places = { slots: 0, all: 0, hostCount: 0 };

/**
 * Time until a new host has heard from all others what they have at the servers since they learned of
 * it: they have fewer places from then on, but may use the others until their requests end.
 */
const settleMs = (hostCount: number): number =>
  SENDER_SETTLE_MS + (localReportRounds(hostCount) + 1) * HEARTBEAT_INTERVAL_MS;

/** Number of the places that go to the host of this rank, if they are dealt out one by one. */
const dealtTo = (rank: number, places: number, hostCount: number): number =>
  Math.max(0, Math.ceil((places - rank) / hostCount));

/**
 * Creates the shares. The hosts of the region divide the slots of each server, and a few places more, among
 * themselves by the registrations in the store, so they need not communicate. As no place is used
 * again within a second after a rejection, a server that has all of its slots busy rejects no more
 * requests in a second than there are places beyond its slots, whatever the hosts know of its load.
 */
export function createConcurrencyShares(options: ConcurrencySharesOptions): ConcurrencyShares {
  const { clock, log, metrics, ownId, loads } = options;
  const selection = createSenderSelection({ ...options, settleMs });
  const records = new Map<string, ServerRecord>();

  function placesAt({ registration }: ServerState, maxRejectionsPerSecond: number): Places {
    const { senders, candidateCount, isSender } = selection.select(registration.id, Infinity);
    if (!isSender) {
      return { ...NO_PLACES, hostCount: candidateCount };
    }
    const rank = senders.indexOf(ownId);
    const extra = Math.floor(maxRejectionsPerSecond * USED_REJECTIONS_RATIO);
    return {
      slots: dealtTo(rank, registration.slots, candidateCount),
      all: dealtTo(rank, registration.slots + extra, candidateCount),
      hostCount: candidateCount,
    };
  }

  function takenPlaces({ registration }: ServerState): number {
    const nowMs = clock.monotonicMs();
    const held = records.get(lifetimeId(registration))?.heldUntilMs ?? [];
    const heldCount = held.filter((untilMs) => untilMs > nowMs).length;
    return loads.ownLoad(registration.id).running + heldCount;
  }

  /**
   * Interval in which the hosts together get no more rejections in a second than are left to outdated
   * views if each gets one.
   */
  function growthIntervalMs(maxRejectionsPerSecond: number, hostCount: number): number {
    const left =
      maxRejectionsPerSecond - Math.floor(maxRejectionsPerSecond * USED_REJECTIONS_RATIO);
    return Math.min(
      MAX_GROWTH_INTERVAL_MS,
      UNSERVED_HOLD_MS * Math.max(1, hostCount / Math.max(1, left)),
    );
  }

  /**
   * Whether the server is full although slots should be free: for other reasons, such as its memory, or
   * because other hosts exceed their shares. Nothing is sent in the first interval after a rejection that
   * shows this, and the limit grows by one request in each.
   */
  function isFull({ registration }: ServerState, limit: number, { hostCount }: Places): boolean {
    const { id, slots } = registration;
    const room = records.get(lifetimeId(registration))?.room;
    const intervals =
      room === undefined
        ? Infinity
        : Math.floor((clock.monotonicMs() - room.atMs) / growthIntervalMs(limit, hostCount));
    return (
      intervals === 0 ||
      loads.ownLoad(id).running >= (room?.running ?? 0) + intervals ||
      (loads.reportedWaiting(id) > 0 && loads.runningOfHosts(id) < slots)
    );
  }

  function recordRejection(
    server: ServerState,
    record: ServerRecord,
    maxRejectionsPerSecond: number,
  ): void {
    const { id, service, slots } = server.registration;
    const nowMs = clock.monotonicMs();
    const places = placesAt(server, maxRejectionsPerSecond);
    record.rejectedAtMs = nowMs;
    if (takenPlaces(server) <= places.slots) {
      const running = Math.floor((loads.ownLoad(id).running - 1) * DECREASE_RATIO);
      record.room = { running, atMs: nowMs };
    }
    log.warn('rejection-by-limited-server', {
      serverId: id,
      maxRejectionsPerSecond,
      slots,
      ownSlots: places.slots,
      ownPlaces: places.all,
      hostCount: places.hostCount,
      ownRunning: loads.ownLoad(id).running,
      running: loads.running(id),
      room: record.room?.running,
    });
    metrics.increment('limited_server_rejections', { service });
  }

  return {
    permits(server, isRepeat = false) {
      const limit = options.limitOf(server);
      if (limit === undefined) {
        return true;
      }
      const { id, slots } = server.registration;
      const places = placesAt(server, limit);
      if (isFull(server, limit, places)) {
        return false;
      }
      const taken = takenPlaces(server);
      if (taken < places.slots) {
        // Hosts that had more places before another one came may still use them.
        return loads.runningOfHosts(id) < slots + Math.floor(limit * USED_REJECTIONS_RATIO);
      }
      return !isRepeat && taken < places.all && loads.running(id) < slots;
    },
    recordEnd(server, end) {
      const limit = options.limitOf(server);
      if (limit === undefined) {
        return;
      }
      const lifetime = lifetimeId(server.registration);
      const nowMs = clock.monotonicMs();
      const record = records.get(lifetime) ?? {
        heldUntilMs: [],
        rejectedAtMs: -Infinity,
        room: undefined,
      };
      records.set(lifetime, record);
      if (end === 'rejected') {
        recordRejection(server, record, limit);
      }
      const holdMs = end === 'served' ? SERVED_HOLD_MS : UNSERVED_HOLD_MS;
      record.heldUntilMs = [
        ...record.heldUntilMs.filter((untilMs) => untilMs > nowMs),
        nowMs + holdMs,
      ];
    },
    failsFromRejections({ registration }) {
      const rejectedAtMs = records.get(lifetimeId(registration))?.rejectedAtMs ?? -Infinity;
      return clock.monotonicMs() - rejectedAtMs <= FAILURE_AFTER_REJECTION_MS;
    },
    retain(servers) {
      selection.observe();
      selection.retain(new Set(servers.map(({ registration }) => registration.id)));
      const lifetimes = new Set(servers.map(({ registration }) => lifetimeId(registration)));
      [...records.keys()]
        .filter((lifetime) => !lifetimes.has(lifetime))
        .forEach((lifetime) => records.delete(lifetime));
    },
  };
}
