import type { Clock } from '@camphorbarrow/core';
import type { ServerState } from '../model/ServerState.js';

/** First pause before a server that could not be reached is tried again; doubles per failure. */
const FIRST_PAUSE_MS = 800;
const MAX_PAUSE_MS = 4_000;
/** Weight of a new outcome in the smoothed failure ratio. */
const OUTCOME_WEIGHT = 0.1;
/** Time after which the failure ratio has lost two thirds of its height without new outcomes. */
const FORGIVE_MS = 4_000;
/** Failures up to this ratio are usual: applications fail a part of their requests themselves. */
const USUAL_FAILURE_RATIO = 0.3;
/** Time that a failing server appears to take longer, for each failure ratio beyond the usual. */
const FAILURE_PENALTY_MS = 2_000;

export interface ServerHealth {
  recordSuccess(incarnation: string): void;
  /** An answer has begun, whatever becomes of it. */
  recordResponseStart(incarnation: string): void;
  /** Monotonic time at which an answer of the server last began; -Infinity when none did. */
  lastResponseStartAtMs(incarnation: string): number;
  /** The server answered with a failure of its own or broke off an answer. */
  recordFailure(incarnation: string): void;
  /** No connection could be made, or the server fell silent. */
  recordUnreachable(incarnation: string): void;
  /** A request that was sent at `sentAtMs` got no answer in time. */
  recordTimeout(incarnation: string, sentAtMs: number): void;
  /** Whether the server may be tried now. */
  isReachable(server: ServerState): boolean;
  /** Time to add to the estimate of a server that fails a part of its requests. */
  penaltyMs(incarnation: string): number;
  retain(incarnations: ReadonlySet<string>): void;
}

interface HealthRecord {
  failureRatio: number;
  notedAtMs: number;
  aliveAtMs: number;
  unreachableSinceMs: number | undefined;
  nextTryAtMs: number;
  pauseMs: number;
}

/** Creates the record of how servers behaved towards this host. */
export function createServerHealth(clock: Clock): ServerHealth {
  const records = new Map<string, HealthRecord>();

  function recordOf(incarnation: string): HealthRecord {
    const record = records.get(incarnation) ?? {
      failureRatio: 0,
      notedAtMs: clock.monotonicMs(),
      aliveAtMs: -Infinity,
      unreachableSinceMs: undefined,
      nextTryAtMs: 0,
      pauseMs: FIRST_PAUSE_MS,
    };
    records.set(incarnation, record);
    return record;
  }

  function currentRatio(record: HealthRecord): number {
    return record.failureRatio * Math.exp((record.notedAtMs - clock.monotonicMs()) / FORGIVE_MS);
  }

  function noteOutcome(incarnation: string, failed: boolean): void {
    const record = recordOf(incarnation);
    const ratio = currentRatio(record);
    record.failureRatio = ratio + OUTCOME_WEIGHT * ((failed ? 1 : 0) - ratio);
    record.notedAtMs = clock.monotonicMs();
    if (!failed) {
      record.unreachableSinceMs = undefined;
      record.pauseMs = FIRST_PAUSE_MS;
    }
  }

  function noteUnreachable(incarnation: string): void {
    noteOutcome(incarnation, true);
    const record = recordOf(incarnation);
    const nowMs = clock.monotonicMs();
    if (record.unreachableSinceMs !== undefined && nowMs < record.nextTryAtMs) {
      return;
    }
    record.unreachableSinceMs = nowMs;
    record.nextTryAtMs = nowMs + record.pauseMs;
    record.pauseMs = Math.min(MAX_PAUSE_MS, record.pauseMs * 2);
  }

  return {
    recordSuccess: (incarnation) => noteOutcome(incarnation, false),
    recordResponseStart(incarnation) {
      recordOf(incarnation).aliveAtMs = clock.monotonicMs();
    },
    lastResponseStartAtMs: (incarnation) => records.get(incarnation)?.aliveAtMs ?? -Infinity,
    recordFailure: (incarnation) => noteOutcome(incarnation, true),
    recordUnreachable: noteUnreachable,
    recordTimeout(incarnation, sentAtMs) {
      // Answers to other requests meanwhile show that only one connection is silent.
      if (recordOf(incarnation).aliveAtMs > sentAtMs) {
        noteOutcome(incarnation, true);
      } else {
        noteUnreachable(incarnation);
      }
    },
    isReachable(server) {
      const record = records.get(server.incarnation);
      if (record?.unreachableSinceMs === undefined) {
        return true;
      }
      // A heartbeat after the failure shows that the process lives and when it is cold.
      return (
        clock.monotonicMs() >= record.nextTryAtMs &&
        server.lastHeartbeatAtMs > record.unreachableSinceMs
      );
    },
    penaltyMs(incarnation) {
      const record = records.get(incarnation);
      const excess = record === undefined ? 0 : currentRatio(record) - USUAL_FAILURE_RATIO;
      return Math.max(0, excess) * FAILURE_PENALTY_MS;
    },
    retain(incarnations) {
      [...records.keys()]
        .filter((incarnation) => !incarnations.has(incarnation))
        .forEach((incarnation) => records.delete(incarnation));
    },
  };
}
