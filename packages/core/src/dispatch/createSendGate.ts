import { AttemptAbandonedError } from '../errors/AttemptAbandonedError.js';

/**
 * How far an order has come. Only `not-sent` and `abandoned` mean that nothing ran; `abandoned` and
 * `answered` are final.
 */
export type SendState = 'not-sent' | 'possibly-sent' | 'answered' | 'abandoned';

/** Point of no return of one order, shared by all its attempts. All methods are synchronous. */
export interface SendGate {
  state(): SendState;
  /** Aborted by `abandon`, so that a connection being made is given up. */
  readonly signal: AbortSignal;
  /** Adds a condition that has to hold at the moment of sending. */
  addSendCheck(check: () => boolean): void;
  /**
   * Starts the next attempt and ends the right of earlier ones to send. The returned function is
   * the attempt's `onPossiblyRun`: it passes the point of no return once, and throws
   * `AttemptAbandonedError` when the order was abandoned, was sent already, has moved on to another
   * attempt or no longer meets its send checks.
   */
  startAttempt(): () => void;
  markAnswered(): void;
  /** Gives the order up when nothing was sent. Returns whether it never ran and never will. */
  abandon(): boolean;
}

/** Creates the gate of one order. */
export function createSendGate(): SendGate {
  const abandoning = new AbortController();
  const sendChecks: (() => boolean)[] = [];
  let state: SendState = 'not-sent';
  let currentAttempt = 0;

  function abandon(): boolean {
    if (state === 'not-sent') {
      state = 'abandoned';
      abandoning.abort();
    }
    return state === 'abandoned';
  }

  return {
    state: () => state,
    signal: abandoning.signal,
    addSendCheck(check) {
      sendChecks.push(check);
    },
    startAttempt() {
      currentAttempt += 1;
      const attempt = currentAttempt;
      return () => {
        if (state !== 'not-sent' || attempt !== currentAttempt) {
          throw new AttemptAbandonedError('The attempt may no longer send.');
        }
        if (!sendChecks.every((check) => check())) {
          abandon();
          throw new AttemptAbandonedError('The right to send has lapsed.');
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
