import { DeadlineExceededError } from '../errors/DeadlineExceededError.js';
import type { Clock } from '../ports/Clock.js';

export interface DeadlineSignal {
  readonly signal: AbortSignal;
  /** Stops the deadline; the caller's signal still aborts. */
  close(): void;
}

/** Creates a signal that aborts with the caller's signal or at a monotonic time. */
export function createDeadlineSignal(
  clock: Clock,
  caller: AbortSignal,
  deadlineAtMs: number,
): DeadlineSignal {
  const deadline = new AbortController();
  const stopped = new AbortController();
  clock.sleep(deadlineAtMs - clock.monotonicMs(), stopped.signal).then(
    () => deadline.abort(new DeadlineExceededError('The deadline has passed.')),
    () => undefined,
  );
  return {
    signal: AbortSignal.any([caller, deadline.signal]),
    close: () => stopped.abort(),
  };
}
