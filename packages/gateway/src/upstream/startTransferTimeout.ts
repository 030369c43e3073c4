import { startInputTimeout } from '@camphorbarrow/core';

/** Longest gap between two chunks. */
const STALL_TIMEOUT_MS = 1_000;
/** Time in which the least number of bytes has to arrive, so that a trickle does not last for ever. */
const RATE_WINDOW_MS = 5_000;
const MIN_WINDOW_BYTES = 16_384;

/** A running timeout of a body. */
export interface TransferTimeout {
  recordBytes(count: number): void;
  /** Ends the timeout; it does not elapse any more. */
  close(): void;
}

/**
 * Starts a timeout for a body whose sender responds, but may be slow or behind a slow link: it
 * elapses if the body stops to arrive, however long the whole of it takes.
 */
export function startTransferTimeout(onElapsed: () => void): TransferTimeout {
  let windowBytes = 0;
  const stall = startInputTimeout(STALL_TIMEOUT_MS, onElapsed);
  const rate = startInputTimeout(RATE_WINDOW_MS, () => {
    if (windowBytes < MIN_WINDOW_BYTES) {
      onElapsed();
      return;
    }
    windowBytes = 0;
    rate.restart();
  });
  return {
    recordBytes(count) {
      windowBytes += count;
      stall.restart();
    },
    close() {
      stall.close();
      rate.close();
    },
  };
}
