import { DeadlineExceededError } from '../errors/DeadlineExceededError.js';
import type { Clock } from '../ports/Clock.js';
import type { RequestContext } from '../requests/RequestContext.js';
import type { OrderOutcome } from './OrderOutcome.js';
import type { OutcomeEntry } from './createOutcomeTable.js';

/**
 * Waits for an order's outcome until the caller's deadline.
 *
 * @param mayAbandon evaluated at the deadline; whether an order that was not sent is abandoned
 */
export async function waitForOutcome(
  clock: Clock,
  context: RequestContext,
  entry: OutcomeEntry,
  mayAbandon: () => boolean,
): Promise<OrderOutcome> {
  if (context.deadlineMs === undefined) {
    return entry.settled();
  }
  const stopTimer = new AbortController();
  const remainingMs = Math.max(0, context.receivedAtMs + context.deadlineMs - clock.monotonicMs());
  const expiry = clock.sleep(remainingMs, stopTimer.signal).then(
    () => undefined,
    () => undefined,
  );
  const outcome = await Promise.race([entry.settled(), expiry]);
  stopTimer.abort();
  if (outcome !== undefined) {
    return outcome;
  }
  if (mayAbandon() && entry.gate.abandon()) {
    const message = 'The deadline passed before the order was sent.';
    return {
      kind: 'not-run',
      error: new DeadlineExceededError(message, { props: { outcome: 'not-run' } }),
    };
  }
  const message =
    'The deadline passed while the order was in flight; resend it to get its outcome.';
  return { kind: 'unknown', error: new DeadlineExceededError(message) };
}
