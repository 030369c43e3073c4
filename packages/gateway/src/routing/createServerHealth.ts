import type { Clock } from '@camphorbarrow/core';
import type { ServerState } from '../model/ServerState.js';

/** Initial backoff before an unreachable server is retried; doubles with each failure. */
const INITIAL_BACKOFF_MS = 800;
const MAX_BACKOFF_MS = 4_000;
/**
 * Time for which the entry of a dead server can stay: three heartbeat intervals, and the time that
 * entries are kept after a failure of the store.
 */
const DEAD_ENTRY_MAX_AGE_MS = 6_000;
/**
 * Time for which a lost server may be cold if this host has completed no request there since: only a
 * few hosts send to a cold server, and others would leave it alone until its next heartbeat.
 */
const UNCONFIRMED_LOSS_MS = 2 * DEAD_ENTRY_MAX_AGE_MS;
/** Time within which a process that has started anew has written its entry. */
const NEW_ENTRY_LAG_MS = 1_500;
/** Differences in the time of a loss below this come from the transit of reports. */
const SAME_LOSS_MS = 2_000;
/** Weight of a new outcome in the moving average of the failure ratio. */
const OUTCOME_WEIGHT = 0.1;
/** Time constant of the exponential decay of the failure ratio without new outcomes. */
const DECAY_MS = 4_000;
/** Failure ratio without penalty: applications fail a part of their requests themselves. */
const USUAL_FAILURE_RATIO = 0.3;
/** Penalty per unit of failure ratio above the usual one. */
const FAILURE_PENALTY_MS = 2_000;

/** Tracks whether servers are reachable and how often their requests fail. */
export interface ServerHealth {
  recordSuccess(incarnation: string): void;
  /** Records that a response started, regardless of its outcome. */
  recordResponseStart(incarnation: string): void;
  /** Monotonic time at which a response last started; -Infinity if none did. */
  lastResponseStartAtMs(incarnation: string): number;
  /** Records that the server responded with an error or aborted a response. */
  recordFailure(incarnation: string): void;
  /** Records that a connection failed or the server stopped responding. */
  recordUnreachable(incarnation: string): void;
  /**
   * Records that the server could not be reached since this monotonic time, and can be now. Its process
   * may have started anew; the store would show that soon.
   */
  recordPossibleLoss(incarnation: string, atMs: number): void;
  /**
   * Records that the process ended at this monotonic time, as seen by any host. Repeated reports of
   * the same end have no effect.
   */
  recordEnd(incarnation: string, atMs: number): void;
  /** Records that a request sent at `sentAtMs` got no response in time. */
  recordTimeout(incarnation: string, sentAtMs: number): void;
  /** Whether the server can be sent requests now. */
  isReachable(server: ServerState): boolean;
  /**
   * Monotonic time until which a server may be cold although no heartbeat says so: one that was lost
   * and is reachable again may have started anew. 0 if a heartbeat arrived since the loss, or if it was
   * never lost.
   *
   * @param coldStartMs time for which servers are cold after a start
   */
  coldUntilMs(server: ServerState, coldStartMs: number): number;
  /** Whether a heartbeat arrived since the latest loss, so that the entry is of the current process. */
  isConfirmed(server: ServerState): boolean;
  /** Time to add to the estimates of a server that fails more requests than usual. */
  penaltyMs(incarnation: string): number;
  /** Drops the records of all other incarnations. */
  retain(incarnations: ReadonlySet<string>): void;
}

interface HealthRecord {
  failureRatio: number;
  updatedAtMs: number;
  responseStartedAtMs: number;
  unreachableSinceMs: number | undefined;
  /** Time of the latest loss, and of the first complete response after it. */
  lostAtMs: number;
  recoveredAtMs: number;
  /** The loss is disproved by a view of the store of this time or later with the same entry. */
  disprovedFromMs: number;
  nextAttemptAtMs: number;
  backoffMs: number;
}

/**
 * Creates a tracker that considers all servers healthy until it records failures.
 *
 * @param storeViewAtMs monotonic time for which the store's content is known
 */
export function createServerHealth(
  clock: Clock,
  storeViewAtMs: () => number = () => -Infinity,
): ServerHealth {
  const records = new Map<string, HealthRecord>();

  function recordOf(incarnation: string): HealthRecord {
    const record = records.get(incarnation) ?? {
      failureRatio: 0,
      updatedAtMs: clock.monotonicMs(),
      responseStartedAtMs: -Infinity,
      unreachableSinceMs: undefined,
      lostAtMs: -Infinity,
      recoveredAtMs: Infinity,
      disprovedFromMs: Infinity,
      nextAttemptAtMs: 0,
      backoffMs: INITIAL_BACKOFF_MS,
    };
    records.set(incarnation, record);
    return record;
  }

  /** Time of the latest loss that nothing has disproved; -Infinity for none. */
  function lostAtMs(record: HealthRecord | undefined): number {
    return record === undefined || storeViewAtMs() >= record.disprovedFromMs
      ? -Infinity
      : record.lostAtMs;
  }

  function currentRatio(record: HealthRecord): number {
    return record.failureRatio * Math.exp((record.updatedAtMs - clock.monotonicMs()) / DECAY_MS);
  }

  function recordOutcome(incarnation: string, failed: boolean): void {
    const record = recordOf(incarnation);
    const ratio = currentRatio(record);
    record.failureRatio = ratio + OUTCOME_WEIGHT * ((failed ? 1 : 0) - ratio);
    record.updatedAtMs = clock.monotonicMs();
    if (!failed) {
      record.unreachableSinceMs = undefined;
      record.recoveredAtMs = Math.min(record.recoveredAtMs, clock.monotonicMs());
      record.backoffMs = INITIAL_BACKOFF_MS;
    }
  }

  function recordLoss(record: HealthRecord, atMs: number): void {
    record.lostAtMs = atMs;
    record.recoveredAtMs = Infinity;
    record.disprovedFromMs = Infinity;
  }

  function recordUnreachable(incarnation: string): void {
    recordOutcome(incarnation, true);
    const record = recordOf(incarnation);
    const nowMs = clock.monotonicMs();
    if (record.unreachableSinceMs !== undefined && nowMs < record.nextAttemptAtMs) {
      return;
    }
    record.unreachableSinceMs = nowMs;
    recordLoss(record, nowMs);
    record.nextAttemptAtMs = nowMs + record.backoffMs;
    record.backoffMs = Math.min(MAX_BACKOFF_MS, record.backoffMs * 2);
  }

  function recordEnd(incarnation: string, atMs: number): void {
    const record = recordOf(incarnation);
    if (atMs > record.lostAtMs + SAME_LOSS_MS) {
      recordLoss(record, atMs);
      record.unreachableSinceMs = atMs;
    }
  }

  return {
    recordSuccess: (incarnation) => recordOutcome(incarnation, false),
    recordResponseStart(incarnation) {
      recordOf(incarnation).responseStartedAtMs = clock.monotonicMs();
    },
    lastResponseStartAtMs: (incarnation) =>
      records.get(incarnation)?.responseStartedAtMs ?? -Infinity,
    recordFailure: (incarnation) => recordOutcome(incarnation, true),
    recordUnreachable,
    recordPossibleLoss(incarnation, atMs) {
      const record = recordOf(incarnation);
      if (atMs > record.lostAtMs) {
        recordLoss(record, atMs);
        record.disprovedFromMs = clock.monotonicMs() + NEW_ENTRY_LAG_MS;
      }
    },
    recordEnd,
    recordTimeout(incarnation, sentAtMs) {
      // A response to another request in the meantime shows that only this connection failed.
      if (recordOf(incarnation).responseStartedAtMs > sentAtMs) {
        recordOutcome(incarnation, true);
      } else {
        recordUnreachable(incarnation);
      }
    },
    isReachable(server) {
      const record = records.get(server.incarnation);
      if (record?.unreachableSinceMs === undefined) {
        return true;
      }
      // A heartbeat after the failure shows that the process is running and for how long it is cold.
      // Without heartbeats, an entry that outlasts the failure shows that the process is running.
      const nowMs = clock.monotonicMs();
      return (
        nowMs >= record.nextAttemptAtMs &&
        (server.lastHeartbeatAtMs > record.unreachableSinceMs ||
          nowMs >= record.unreachableSinceMs + DEAD_ENTRY_MAX_AGE_MS)
      );
    },
    coldUntilMs(server, coldStartMs) {
      const record = records.get(server.incarnation);
      if (record === undefined || server.lastHeartbeatAtMs > lostAtMs(record)) {
        return 0;
      }
      return record.recoveredAtMs === Infinity
        ? record.lostAtMs + UNCONFIRMED_LOSS_MS
        : record.recoveredAtMs + coldStartMs;
    },
    isConfirmed: (server) => server.lastHeartbeatAtMs > lostAtMs(records.get(server.incarnation)),
    penaltyMs(incarnation) {
      const record = records.get(incarnation);
      // The ratio only decays, and most servers fail no requests.
      if (record === undefined || record.failureRatio <= USUAL_FAILURE_RATIO) {
        return 0;
      }
      return Math.max(0, currentRatio(record) - USUAL_FAILURE_RATIO) * FAILURE_PENALTY_MS;
    },
    retain(incarnations) {
      [...records.keys()]
        .filter((incarnation) => !incarnations.has(incarnation))
        .forEach((incarnation) => records.delete(incarnation));
    },
  };
}
