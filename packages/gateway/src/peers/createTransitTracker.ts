import type { Clock, HostId } from '@camphorbarrow/core';
import type { PeerHeartbeat } from './PeerHeartbeat.js';

/** Period over which the fastest heartbeat of a peer is the reference for its messages. */
const WINDOW_MS = 5_000;

/** Time at which a message was sent, on the monotonic clock of the sending process. */
export interface SendTime {
  /** Random id of the sender's process; its clock starts again with each process. */
  readonly incarnation: string;
  readonly sentAtMs: number;
}

/** Tracks how long messages of peers are in transit. */
export interface TransitTracker {
  recordHeartbeat(
    heartbeat: Pick<PeerHeartbeat, 'host' | 'incarnation' | 'sentAtMs' | 'echo'>,
  ): void;
  /**
   * Time that a message that arrives now was in transit, in excess of the fastest recent heartbeat
   * of its sender; undefined without one.
   */
  excessTransitMs(sender: HostId, sendTime: SendTime): number | undefined;
}

interface Reference {
  readonly incarnation: string;
  /** Smallest differences between the clocks at arrival, in this window and the one before. */
  readonly current: number;
  readonly previous: number;
  readonly windowStartMs: number;
}

const fastestOf = ({ current, previous }: Reference): number => Math.min(current, previous);

/**
 * Creates a tracker that compares a message with the heartbeats of its sender, so that the hosts'
 * clocks need not agree.
 */
export function createTransitTracker(clock: Clock): TransitTracker {
  const references = new Map<HostId, Reference>();

  return {
    recordHeartbeat({ host, incarnation, sentAtMs, echo }) {
      const nowMs = clock.monotonicMs();
      const differenceMs = nowMs - sentAtMs;
      const roundTripMs =
        echo === undefined ? Infinity : Math.max(0, nowMs - echo.sentAtMs - echo.heldMs);
      const known = references.get(host.id);
      // A message takes no longer than a round trip. A smaller difference is from before a pause of
      // the sender, during which its clock did not run.
      const isOutdated =
        known?.incarnation !== incarnation || fastestOf(known) < differenceMs - roundTripMs;
      if (isOutdated) {
        references.set(host.id, {
          incarnation,
          current: differenceMs,
          previous: Infinity,
          windowStartMs: nowMs,
        });
      } else if (nowMs - known.windowStartMs > WINDOW_MS) {
        references.set(host.id, {
          incarnation,
          current: differenceMs,
          previous: known.current,
          windowStartMs: nowMs,
        });
      } else {
        references.set(host.id, { ...known, current: Math.min(known.current, differenceMs) });
      }
    },
    excessTransitMs(sender, { incarnation, sentAtMs }) {
      const reference = references.get(sender);
      if (reference?.incarnation !== incarnation) {
        return undefined;
      }
      return Math.max(0, clock.monotonicMs() - sentAtMs - fastestOf(reference));
    },
  };
}
