import type { Clock, LogSink } from '@camphorbarrow/core';
import { logFailures } from '../errors/logFailures.js';

const MS_PER_SECOND = 1_000;

export interface PacedSendOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  /** Mean rate that must not be exceeded, except by sends that take longer than `maxPauseMs`. */
  readonly bytesPerSecond: number;
  /** Maximum time between two sends while one is requested. */
  readonly maxPauseMs: number;
  /** Sends what is known now. Returns the number of bytes. */
  readonly send: () => number;
  /** Ends pending sends. */
  readonly signal: AbortSignal;
}

/**
 * Creates a function that requests a send. The first one is made at once. Later ones wait until the
 * bytes of the previous one fit the rate, but no longer than `maxPauseMs`. Requests that wait are
 * answered by one send.
 */
export function createPacedSend(options: PacedSendOptions): () => void {
  const { clock, log, signal } = options;
  let nextSendAtMs = -Infinity;
  let isPending = false;

  const sendNow = logFailures(log, 'paced-send-failed', () => {
    isPending = false;
    const durationMs = (options.send() / options.bytesPerSecond) * MS_PER_SECOND;
    nextSendAtMs = clock.monotonicMs() + Math.min(options.maxPauseMs, durationMs);
  });

  return () => {
    if (isPending || signal.aborted) {
      return;
    }
    const waitMs = nextSendAtMs - clock.monotonicMs();
    if (waitMs <= 0) {
      sendNow();
      return;
    }
    isPending = true;
    clock.sleep(waitMs, signal).then(sendNow, () => undefined);
  };
}
