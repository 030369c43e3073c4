import { DeadlineExceededError } from '../errors/DeadlineExceededError.js';
import type { Clock } from '../ports/Clock.js';

export interface DeadlineSignal {
  readonly signal: AbortSignal;
  /** Cancels the deadline timer. The signal still aborts with the caller's signal. */
  close(): void;
}

/** Abort reason of the timer. It is not observable; a string avoids the cost of a stack trace. */
const TIMER_STOPPED = 'stopped';

/** Creates a signal that aborts when the caller's signal aborts or the deadline passes. */
export function createDeadlineSignal(
  clock: Clock,
  caller: AbortSignal,
  deadlineAtMs: number,
): DeadlineSignal {
  const deadlineController = new AbortController();
  const timerController = new AbortController();
  clock.sleep(deadlineAtMs - clock.monotonicMs(), timerController.signal).then(
    () => deadlineController.abort(new DeadlineExceededError('The deadline has passed.')),
    () => undefined,
  );
  return {
    signal: AbortSignal.any([caller, deadlineController.signal]),
    close: () => timerController.abort(TIMER_STOPPED),
  };
}
