import { waitForPoll } from '@camphorbarrow/core';
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
 * Admits the next attempt of a request by the prompt parts that it shares with others; undefined if
 * it has to wait. A request with a blocked part is rejected.
 *
 * @param isRetry whether a server crashed or failed while it ran the request
 */
export function tryAdmitPromptParts(
  { clock, partSuspicion, partTrials }: GatewayContext,
  exchange: Exchange,
  isRetry: boolean,
): PartAdmission | undefined {
  const parts = partSuspicion.hasSuspects() ? exchange.sharedPartKeys() : [];
  const blockedUntilMs = partSuspicion.blockedUntilMs(parts);
  if (blockedUntilMs > 0) {
    const retryAfterMs = blockedUntilMs - clock.monotonicMs();
    return { kind: 'rejected', cause: 'prompt part crashed servers', retryAfterMs };
  }
  // The host of a relayed request's caller waits for its turn.
  const trial = partTrials.tryStart(exchange.relayedBy === undefined ? parts : [], isRetry);
  return trial === undefined ? undefined : { kind: 'admitted', trial };
}

/**
 * Admits the next attempt like `tryAdmitPromptParts`. A request with a suspected part waits for a
 * short time for its turn or for a response on the part, and is rejected after that.
 */
export async function admitPromptParts(
  context: GatewayContext,
  exchange: Exchange,
  isRetry: boolean,
  signal: AbortSignal,
): Promise<PartAdmission> {
  const { clock } = context;
  const startedAtMs = clock.monotonicMs();
  const maxWaitMs = Math.min(MAX_WAIT_MS, (exchange.deadlineAtMs - startedAtMs) * MAX_WAIT_RATIO);
  for (;;) {
    const admission = tryAdmitPromptParts(context, exchange, isRetry);
    if (admission !== undefined) {
      return admission;
    }
    if (signal.aborted || clock.monotonicMs() - startedAtMs >= maxWaitMs) {
      return {
        kind: 'rejected',
        cause: 'prompt part suspected after server crashes',
        retryAfterMs: SUSPECTED_RETRY_AFTER_MS,
      };
    }
    await clock.sleep(POLL_INTERVAL_MS, signal).catch(() => undefined);
    await waitForPoll();
  }
}
