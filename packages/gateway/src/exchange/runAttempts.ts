import { attemptDestination } from './attemptDestination.js';
import type { AttemptResult } from './AttemptResult.js';
import type { AttemptSignals } from './AttemptSignals.js';
import { confirmVersion } from './confirmVersion.js';
import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import type { GatewayContext } from './GatewayContext.js';
import { isResumed } from './isResumed.js';
import { maxRuns } from './maxRuns.js';
import { admitAttempt, prepareAttempt, tryPrepareNextAttempt } from './prepareAttempt.js';
import type { PreparedAttempt } from './prepareAttempt.js';
import type { StopCause } from './StopCause.js';
import { waitForRoom } from './waitForRoom.js';

/** Maximum number of attempts when every server rejects the request without running it. */
const MAX_ATTEMPTS = 4;
/** Pause before a request without a destination is tried again; doubles each time. */
const INITIAL_RETRY_PAUSE_MS = 200;
const MAX_RETRY_PAUSE_MS = 1_600;
/** Time in which a host that was killed is back; callers of streams bear pauses of as long. */
const MAX_RESUME_WAIT_MS = 2_000;
/** Reasons to stop that a short pause does not change. */
const LASTING_STOP_CAUSES: ReadonlySet<StopCause> = new Set([
  'prompt-part',
  'quarantined',
  'version-gone',
  'version-unknown',
]);

/** Whether the request has certainly arrived at no server in the attempt. */
const isWithoutServer = (result: AttemptResult): boolean =>
  (result.kind === 'not-run' && !result.hasArrived) ||
  (result.kind === 'cancelled' && result.wasUnsent === true);

function recordFailure(progress: ExchangeProgress, cause: string): void {
  progress.lastFailure = cause === 'silent' ? cause : 'broken';
  progress.hasGivenUpServer ||= cause === 'silent';
}

/** Records the result of an attempt. Returns whether another attempt is allowed. */
function recordResult(
  exchange: Exchange,
  progress: ExchangeProgress,
  result: AttemptResult,
): boolean {
  const { route } = exchange;
  const wasUnsent = result.kind === 'cancelled' && result.wasUnsent === true;
  progress.mayHaveRun ||= result.kind !== 'not-run' && !wasUnsent;
  progress.hasArrived ||= result.kind !== 'not-run' || result.hasArrived;
  switch (result.kind) {
    case 'delivered':
    case 'cancelled':
      return false;
    case 'not-run':
      progress.causes.push(result.cause);
      progress.lastFailure = 'rejected';
      progress.hasOverloadedPeer ||= result.isOverload === true;
      progress.retryAfterMs = Math.max(progress.retryAfterMs, result.retryAfterMs ?? 0);
      return progress.attempts < MAX_ATTEMPTS;
    case 'failed-run':
      progress.causes.push(`status ${result.response.status}`);
      progress.lastFailure = 'error';
      progress.errorResponse = result.response;
      progress.runs += 1;
      return route.idempotent && progress.runs < maxRuns(exchange);
    case 'unknown':
      progress.causes.push(result.cause);
      recordFailure(progress, result.cause);
      progress.runs += 1;
      return route.idempotent && progress.runs < maxRuns(exchange);
    case 'interrupted':
      progress.causes.push(`interrupted: ${result.cause}`);
      recordFailure(progress, result.cause);
      if (result.cause === 'unconfirmed' || result.lastEventId !== undefined) {
        progress.hasUnconfirmedEnd = result.cause === 'unconfirmed';
      }
      progress.lastEventId = result.lastEventId ?? progress.lastEventId;
      progress.runs += 1;
      return (
        route.resumable && progress.versionSource !== 'unknown' && progress.runs < maxRuns(exchange)
      );
  }
}

/**
 * Whether a reserved attempt still goes to a server that may get it, of the version that began the
 * stream.
 */
function isUsable(
  { concurrencyShares }: GatewayContext,
  { destination }: PreparedAttempt,
  { requiredVersion }: ExchangeProgress,
): boolean {
  return (
    destination.kind === 'region' ||
    (concurrencyShares.permits(destination.server, true) &&
      (requiredVersion === undefined ||
        destination.server.registration.softwareVersion === requiredVersion))
  );
}

/**
 * Whether a resumed stream waits for a server of its version. Its caller has events already and may
 * have no further try, and a host that reaches the servers may be about to start.
 */
function waitsToResume(
  { clock }: GatewayContext,
  { metadata, route, relayedBy, arrivedAtMs }: Exchange,
  { mayHaveRun }: ExchangeProgress,
): boolean {
  return (
    route.resumable &&
    isResumed(metadata) &&
    relayedBy === undefined &&
    !mayHaveRun &&
    clock.monotonicMs() - arrivedAtMs < MAX_RESUME_WAIT_MS
  );
}

/**
 * Whether a request without a destination waits for one. The only other end of a stream that has
 * started is a response without its rest; the server that this host has given up might have
 * responded by now.
 */
function waitsForDestination(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  startSignal: AbortSignal,
): boolean {
  return (
    (exchange.responseWriter.isStarted() ||
      waitsToResume(context, exchange, progress) ||
      (progress.hasGivenUpServer && progress.errorResponse === undefined)) &&
    exchange.route.idempotent &&
    progress.runs < maxRuns(exchange) &&
    !LASTING_STOP_CAUSES.has(progress.stopCause) &&
    !startSignal.aborted
  );
}

/**
 * Makes attempts until one succeeds or no further one is allowed. A server that has been silent for
 * long is given up only once the next attempt is prepared: until then, its response may still come.
 *
 * @param signals `signal` cancels the attempt that runs; after `startSignal` no other one starts
 */
export async function runAttempts(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  signals: AttemptSignals,
): Promise<AttemptResult | undefined> {
  const { startSignal } = signals;
  let result: AttemptResult | undefined;
  let reserved: PreparedAttempt | undefined;
  let pauseMs = INITIAL_RETRY_PAUSE_MS;
  const reserveNext = (): boolean => {
    reserved ??= tryPrepareNextAttempt(context, exchange, progress);
    return reserved !== undefined;
  };

  /** Makes an attempt and returns whether another one is allowed at once. */
  async function attempt(prepared: PreparedAttempt): Promise<boolean> {
    progress.attempts += 1;
    progress.stopCause = 'ended';
    result = await attemptDestination(
      context,
      exchange,
      progress,
      prepared,
      signals,
      reserveNext,
    ).finally(prepared.trial.end);
    if (result.kind === 'interrupted') {
      await confirmVersion(context, exchange, progress, startSignal);
    } else if (!exchange.responseWriter.isStarted()) {
      // None of its events was forwarded.
      progress.versionClaim = undefined;
    }
    if (prepared.costsRetry && isWithoutServer(result)) {
      context.retryBudget.refund(exchange.service.name);
    }
    const mayRepeat = recordResult(exchange, progress, result);
    if (!mayRepeat && result.kind !== 'delivered' && result.kind !== 'cancelled') {
      const isUnknown = result.kind === 'interrupted' && progress.versionSource === 'unknown';
      progress.stopCause = isUnknown ? 'version-unknown' : 'not-repeatable';
    }
    return mayRepeat;
  }

  try {
    for (;;) {
      let prepared: PreparedAttempt | undefined;
      if (reserved !== undefined && !isUsable(context, reserved, progress)) {
        reserved.trial.end();
        reserved = undefined;
      }
      if (reserved !== undefined) {
        await context.dispatchQueue.wait(startSignal);
        if (startSignal.aborted) {
          return result;
        }
        prepared = reserved;
        reserved = undefined;
      } else {
        const trial = await admitAttempt(context, exchange, progress, startSignal);
        prepared = trial && prepareAttempt(context, exchange, progress, startSignal, trial);
      }
      if (progress.waiting !== undefined) {
        context.admissionQueue.endTurn(progress.waiting, prepared !== undefined);
      }
      if (prepared === undefined && (await waitForRoom(context, exchange, progress, startSignal))) {
        continue;
      }
      const mayRepeat = prepared !== undefined && (await attempt(prepared));
      if (!mayRepeat) {
        const isFinal = result?.kind === 'delivered' || result?.kind === 'cancelled';
        if (isFinal || !waitsForDestination(context, exchange, progress, startSignal)) {
          return result;
        }
        await context.clock.sleep(pauseMs, startSignal).catch(() => undefined);
        pauseMs = Math.min(MAX_RETRY_PAUSE_MS, pauseMs * 2);
        progress.triedServers.clear();
        progress.triedRegions.clear();
        progress.rejectingHosts.clear();
        progress.neighbourRejections = 0;
      }
    }
  } finally {
    reserved?.trial.end();
  }
}
