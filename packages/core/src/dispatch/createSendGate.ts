import { AttemptAbandonedError } from '../errors/AttemptAbandonedError.js';

/**
 * Sending progress of one order. The order has certainly not run in the states `not-sent` and
 * `abandoned` only; `abandoned` and `answered` are final.
 */
export type SendState = 'not-sent' | 'possibly-sent' | 'answered' | 'abandoned';

/**
 * Ensures that an order is sent at most once. It is shared by all attempts of the order and decides
 * immediately before the first byte is written. All methods are synchronous.
 */
export interface SendGate {
  state(): SendState;
  /** Aborted by `abandon`, so that a pending connection attempt is cancelled. */
  readonly signal: AbortSignal;
  /** Adds a condition that is checked immediately before sending. */
  addSendCheck(check: () => boolean): void;
  /**
   * Starts the next attempt; earlier attempts may no longer send. The returned function is the
   * `onBeforeSend` callback of the attempt: it changes the state to `possibly-sent`, or throws
   * `AttemptAbandonedError` when the order was abandoned, may already have been sent, has a newer
   * attempt or fails a send check.
   */
  startAttempt(): () => void;
  markAnswered(): void;
  /**
   * Abandons the order unless it may have been sent. Returns whether it never ran and never will.
   */
  abandon(): boolean;
}

/** Creates the send gate of one order. */
export function createSendGate(): SendGate {
  const abandonController = new AbortController();
  const sendChecks: (() => boolean)[] = [];
  let state: SendState = 'not-sent';
  let currentAttempt = 0;

  function abandon(): boolean {
    if (state === 'not-sent') {
      state = 'abandoned';
      abandonController.abort();
    }
    return state === 'abandoned';
  }

  return {
    state: () => state,
    signal: abandonController.signal,
    addSendCheck(check) {
      sendChecks.push(check);
    },
    startAttempt() {
      currentAttempt += 1;
      const attempt = currentAttempt;
      return () => {
        if (state !== 'not-sent' || attempt !== currentAttempt) {
          throw new AttemptAbandonedError('The attempt is no longer allowed to send the order.');
        }
        if (!sendChecks.every((check) => check())) {
          abandon();
          throw new AttemptAbandonedError('A send check failed immediately before sending.');
        }
        state = 'possibly-sent';
      };
    },
    markAnswered() {
      if (state === 'possibly-sent') {
        state = 'answered';
      }
    },
    abandon,
  };
}
