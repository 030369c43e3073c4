import type { PartTrial } from '../limits/createPartTrials.js';
import type { Destination } from '../routing/Destination.js';
import { toAdmissionRequest } from '../routing/toAdmissionRequest.js';
import { admitAfterCrashes, tryAdmitAfterCrashes } from './admitAfterCrashes.js';
import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import type { GatewayContext } from './GatewayContext.js';
import { toRoutingRequest } from './toRoutingRequest.js';

/** Maximum retry delay sent to callers of an overloaded service whose returns are not booked. */
const MAX_RETRY_AFTER_MS = 2_000;

/** Whether another server may have to continue the stream, while its service has several versions. */
const dependsOnVersion = (
  { streamVersions }: GatewayContext,
  { route, service }: Exchange,
): boolean => route.resumable && streamVersions.isMixed(service.name);

/** An attempt that may be made: it has a destination, and the limits on attempts permit it. */
export interface PreparedAttempt {
  readonly destination: Exclude<Destination, { kind: 'none' }>;
  /** Must be ended after the attempt, or if it is not made. */
  readonly trial: PartTrial;
  /** Whether a retry was withdrawn from the budget, to be refunded if no server gets the request. */
  readonly costsRetry: boolean;
}

/** Ends the trial unless the attempt can be made, also when its preparation throws. */
function prepareWithTrial(
  trial: PartTrial,
  costsRetry: boolean,
  prepare: () => PreparedAttempt['destination'] | undefined,
): PreparedAttempt | undefined {
  let destination: PreparedAttempt['destination'] | undefined;
  try {
    destination = prepare();
    return destination && { destination, trial, costsRetry };
  } finally {
    if (destination === undefined) {
      trial.end();
    }
  }
}

/** Counts a request to a server with a limited rate before any other request is routed. */
function recordChoice(
  context: GatewayContext,
  { service }: Exchange,
  destination: PreparedAttempt['destination'],
): void {
  if (destination.kind === 'server') {
    context.serverRateLimiter.recordSend(destination.server, service.coldRequestsPerSecond);
  }
}

/** Whether this host took the request from its caller, and no server may have run it. */
const isNew = ({ relayedBy }: Exchange, { runs }: ExchangeProgress): boolean =>
  relayedBy === undefined && runs === 0;

/**
 * Waits until the next attempt may be prepared; undefined if it is rejected because of crashes. The
 * reason is then in the progress.
 */
export async function admitAttempt(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  startSignal: AbortSignal,
): Promise<PartTrial | undefined> {
  const admission = await admitAfterCrashes(context, exchange, progress.runs > 0, startSignal);
  if (admission.kind === 'rejected') {
    progress.causes.push(admission.cause);
    progress.stopCause = admission.stopCause;
    progress.retryAfterMs = admission.retryAfterMs;
    return undefined;
  }
  await context.dispatchQueue.wait(startSignal);
  return admission.trial;
}

/**
 * Prepares an admitted attempt; undefined if none is possible, with the reason in the progress. Must
 * be followed by the attempt without waiting, so that the next choice sees the load of this one.
 *
 * @param startSignal once aborted, no attempt may be made
 * @param trial ended here if no attempt is possible
 */
export function prepareAttempt(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  startSignal: AbortSignal,
  trial: PartTrial,
): PreparedAttempt | undefined {
  return prepareWithTrial(trial, progress.hasArrived, () => {
    const remainingMs = exchange.deadlineAtMs - context.clock.monotonicMs();
    if (startSignal.aborted || remainingMs <= 0) {
      progress.stopCause = 'ended';
      return undefined;
    }
    const request = {
      ...toRoutingRequest(exchange, progress, remainingMs),
      dependsOnVersion: dependsOnVersion(context, exchange),
    };
    const destination = context.router.choose(request);
    if (destination.kind === 'none') {
      progress.causes.push(destination.reason);
      progress.stopCause = destination.reason;
      if (destination.reason === 'rate-limited') {
        context.metrics.increment('rate_limited_requests', { service: exchange.service.name });
      }
      if (destination.reason === 'rejection-limited') {
        context.metrics.increment('rejection_limited_requests', { service: exchange.service.name });
      }
      if (destination.reason === 'servers-paused') {
        progress.retryAfterMs = Math.max(progress.retryAfterMs, destination.retryAfterMs);
      }
      if (destination.reason === 'overloaded') {
        progress.lastChoice = destination.rejected;
        const { cause, roomInMs, fitsWithoutQueue } = destination;
        progress.overload = { cause, roomInMs, fitsWithoutQueue };
        progress.retryAfterMs = Math.min(
          MAX_RETRY_AFTER_MS,
          Math.max(progress.retryAfterMs, destination.rejected.waitMs),
        );
      } else if (
        context.controlsOverload() &&
        progress.hasOverloadedPeer &&
        (destination.reason === 'no-server' || destination.reason === 'unreachable')
      ) {
        // Nothing else is left than the region that had no room, and it is not tried again.
        progress.stopCause = 'overloaded';
        progress.overload = { cause: 'full', roomInMs: 0, fitsWithoutQueue: false };
      } else if (
        context.controlsOverload() &&
        exchange.relayedBy === undefined &&
        destination.reason === 'rejection-limited'
      ) {
        // A place becomes free as soon as one of this host's requests ends. A relayed request does not
        // wait for it: another host may have one.
        progress.stopCause = 'overloaded';
        progress.overload = { cause: 'full', roomInMs: 0, fitsWithoutQueue: true };
      }
      return undefined;
    }
    if (progress.hasArrived && !context.retryBudget.tryWithdraw(exchange.service.name)) {
      progress.causes.push('retry budget exhausted');
      progress.stopCause = 'retry-budget';
      return undefined;
    }
    recordChoice(context, exchange, destination);
    if (context.controlsOverload() && progress.attempts === 0 && isNew(exchange, progress)) {
      context.sends.recordSend(exchange.service.name);
      context.overload.recordSent(toAdmissionRequest(request));
      progress.recordedSentAtMs = context.clock.monotonicMs();
    }
    return destination;
  });
}

/**
 * Prepares the attempt that would follow the one that is running, without waiting and without a
 * trace in the progress; undefined if none is possible now.
 */
export function tryPrepareNextAttempt(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
): PreparedAttempt | undefined {
  const remainingMs = exchange.deadlineAtMs - context.clock.monotonicMs();
  // The timer of a silent server can run before the one of the deadline on a busy host.
  if (remainingMs <= 0) {
    return undefined;
  }
  const destination = context.router.choose({
    ...toRoutingRequest(exchange, { ...progress, runs: progress.runs + 1 }, remainingMs),
    dependsOnVersion: dependsOnVersion(context, exchange),
  });
  if (destination.kind === 'none') {
    return undefined;
  }
  const admission = tryAdmitAfterCrashes(context, exchange, true);
  if (admission?.kind !== 'admitted') {
    return undefined;
  }
  return prepareWithTrial(admission.trial, true, () => {
    if (!context.retryBudget.tryWithdraw(exchange.service.name)) {
      return undefined;
    }
    recordChoice(context, exchange, destination);
    return destination;
  });
}
