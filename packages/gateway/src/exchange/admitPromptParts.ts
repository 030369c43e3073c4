import type { PartTrial } from '../limits/createPartTrials.js';
import type { Exchange } from './Exchange.js';
import type { GatewayContext } from './GatewayContext.js';

/** Time that a request may wait for the outcome of another one with the same suspected part. */
const MAX_WAIT_MS = 500;
/** Share of the remaining time that it may wait. */
const MAX_WAIT_RATIO = 0.25;
const POLL_INTERVAL_MS = 25;
/** Retry delay sent to callers of requests with a suspected part. */
const SUSPECTED_RETRY_AFTER_MS = 1_000;

export type PartAdmission =
  | { readonly kind: 'admitted'; readonly trial: PartTrial }
  | { readonly kind: 'rejected'; readonly cause: string; readonly retryAfterMs: number };

/**
 * Admits the next attempt of a request by the prompt parts that it shares with others. A request
 * with a blocked part is rejected at once. One with a suspected part waits for a short time for its
 * turn or for a response on the part.
 *
 * @param isRetry whether a server crashed or failed while it ran the request
 */
export async function admitPromptParts(
  context: GatewayContext,
  exchange: Exchange,
  isRetry: boolean,
  signal: AbortSignal,
): Promise<PartAdmission> {
  const { clock, partSuspicion, partTrials } = context;
  const startedAtMs = clock.monotonicMs();
  const maxWaitMs = Math.min(MAX_WAIT_MS, (exchange.deadlineAtMs - startedAtMs) * MAX_WAIT_RATIO);
  for (;;) {
    const parts = partSuspicion.hasSuspects() ? exchange.sharedPartKeys() : [];
    const blockedUntilMs = partSuspicion.blockedUntilMs(parts);
    if (blockedUntilMs > 0) {
      const retryAfterMs = blockedUntilMs - clock.monotonicMs();
      return { kind: 'rejected', cause: 'prompt part crashed servers', retryAfterMs };
    }
    // The host of a relayed request's caller waits for its turn.
    const trial = partTrials.tryStart(exchange.relayedBy === undefined ? parts : [], isRetry);
    if (trial !== undefined) {
      return { kind: 'admitted', trial };
    }
    if (signal.aborted || clock.monotonicMs() - startedAtMs >= maxWaitMs) {
      return {
        kind: 'rejected',
        cause: 'prompt part suspected after server crashes',
        retryAfterMs: SUSPECTED_RETRY_AFTER_MS,
      };
    }
    await clock.sleep(POLL_INTERVAL_MS, signal).catch(() => undefined);
  }
}
