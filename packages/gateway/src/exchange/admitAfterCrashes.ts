import { waitForPoll } from '@camphorbarrow/core';
import { UNLIMITED_TRIAL } from '../limits/createPartTrials.js';
import type { PartTrial } from '../limits/createPartTrials.js';
import type { Exchange } from './Exchange.js';
import type { GatewayContext } from './GatewayContext.js';
import type { StopCause } from './StopCause.js';

/** Time that a request may wait for the outcome of another one that is suspected alike. */
const MAX_WAIT_MS = 500;
/** Share of the remaining time that it may wait. */
const MAX_WAIT_RATIO = 0.25;
const POLL_INTERVAL_MS = 25;
/** Retry delay sent to callers of suspected requests. */
const SUSPECTED_RETRY_AFTER_MS = 1_000;

export type CrashAdmission =
  | { readonly kind: 'admitted'; readonly trial: PartTrial }
  | {
      readonly kind: 'rejected';
      readonly cause: string;
      readonly stopCause: Extract<StopCause, 'prompt-part' | 'quarantined'>;
      readonly retryAfterMs: number;
    };

/**
 * Admits the next attempt of a request by what is known of server crashes; undefined if it has to
 * wait for the outcome of another one. A request that crashed servers, or with a prompt part that
 * did, is rejected.
 *
 * @param isRetry whether a server crashed or failed while it ran the request
 */
export function tryAdmitAfterCrashes(
  { clock, crashGuard, partSuspicion, partTrials }: GatewayContext,
  exchange: Exchange,
  isRetry: boolean,
): CrashAdmission | undefined {
  const quarantineMs = crashGuard.quarantineMs(exchange.fingerprint);
  if (quarantineMs > 0) {
    return {
      kind: 'rejected',
      cause: 'quarantined after server crashes',
      stopCause: 'quarantined',
      retryAfterMs: quarantineMs,
    };
  }
  const parts = partSuspicion.hasSuspects() ? exchange.sharedPartKeys() : [];
  const blockedUntilMs = partSuspicion.blockedUntilMs(parts);
  if (blockedUntilMs > 0) {
    return {
      kind: 'rejected',
      cause: 'prompt part crashed servers',
      stopCause: 'prompt-part',
      retryAfterMs: blockedUntilMs - clock.monotonicMs(),
    };
  }
  if (exchange.relayedBy !== undefined) {
    // The host of the caller has waited for its turn.
    return { kind: 'admitted', trial: UNLIMITED_TRIAL };
  }
  const trialKey = crashGuard.trialKey(exchange.fingerprint);
  const keys = trialKey === undefined ? parts : [...parts, trialKey];
  const trial = partTrials.tryStart(keys, isRetry);
  return trial === undefined ? undefined : { kind: 'admitted', trial };
}

/**
 * Admits the next attempt like `tryAdmitAfterCrashes`. A suspected request waits for a short time
 * for its turn or for the outcome of another one, and is rejected after that.
 */
export async function admitAfterCrashes(
  context: GatewayContext,
  exchange: Exchange,
  isRetry: boolean,
  signal: AbortSignal,
): Promise<CrashAdmission> {
  const { clock } = context;
  const startedAtMs = clock.monotonicMs();
  const maxWaitMs = Math.min(MAX_WAIT_MS, (exchange.deadlineAtMs - startedAtMs) * MAX_WAIT_RATIO);
  for (;;) {
    const admission = tryAdmitAfterCrashes(context, exchange, isRetry);
    if (admission !== undefined) {
      return admission;
    }
    if (signal.aborted || clock.monotonicMs() - startedAtMs >= maxWaitMs) {
      return {
        kind: 'rejected',
        cause: 'suspected after server crashes',
        stopCause: 'prompt-part',
        retryAfterMs: SUSPECTED_RETRY_AFTER_MS,
      };
    }
    await clock.sleep(POLL_INTERVAL_MS, signal).catch(() => undefined);
    await waitForPoll();
  }
}
