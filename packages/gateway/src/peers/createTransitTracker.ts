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
  recordHeartbeat(heartbeat: Pick<PeerHeartbeat, 'host' | 'incarnation' | 'sentAtMs'>): void;
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

/**
 * Creates a tracker that compares a message with the heartbeats of its sender, so that the hosts'
 * clocks need not agree.
 */
export function createTransitTracker(clock: Clock): TransitTracker {
  const references = new Map<HostId, Reference>();

  return {
    recordHeartbeat({ host, incarnation, sentAtMs }) {
      const nowMs = clock.monotonicMs();
      const differenceMs = nowMs - sentAtMs;
      const known = references.get(host.id);
      if (known?.incarnation !== incarnation) {
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
      const fastestMs = Math.min(reference.current, reference.previous);
      return Math.max(0, clock.monotonicMs() - sentAtMs - fastestMs);
    },
  };
}
