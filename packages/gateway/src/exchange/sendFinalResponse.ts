import {
  BackendFailedError,
  DeadlineExceededError,
  NoServerError,
  createRejections,
  type RequestError,
} from '@camphorbarrow/core';
import { createDrainingError } from '../errors/createDrainingError.js';
import { createUnreachableError } from '../errors/createUnreachableError.js';
import { StreamVersionError } from '../errors/StreamVersionError.js';
import type { Route } from '../model/Route.js';
import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import type { GatewayContext } from './GatewayContext.js';
import { sendErrorResponse } from './sendErrorResponse.js';

/** Part of the remaining time that callers wait while no host takes a request for lack of connections. */
const UNREACHABLE_RETRY_RATIO = 0.25;
const MAX_UNREACHABLE_RETRY_MS = 2_000;

const createNoServerError = createRejections(() => new NoServerError('No server.'));

/** Whether another host of the region may do better, because this one reached no server. */
const hasReachedNoServer = ({
  stopCause,
  hasArrived,
  refusedConnects,
  timedOutConnects,
}: ExchangeProgress): boolean =>
  stopCause === 'unreachable' ||
  ((stopCause === 'not-repeatable' || stopCause === 'no-server') &&
    refusedConnects + timedOutConnects > 0 &&
    !hasArrived);

function createFinalError(
  progress: ExchangeProgress,
  isExpired: boolean,
  isClosing: boolean,
): RequestError {
  const cause = progress.causes.join(', ');
  if (isClosing && !isExpired) {
    return progress.mayHaveRun
      ? new BackendFailedError('The entry host was shut down before the response was complete.')
      : createDrainingError();
  }
  if (progress.runs > 0) {
    return isExpired
      ? new DeadlineExceededError(`No response before the deadline: ${cause}.`)
      : new BackendFailedError(`The request may have run: ${cause}.`);
  }
  if (isExpired) {
    // A cancelled attempt may have run, although it counts as no run.
    const outcome = progress.mayHaveRun ? 'unknown' : 'not-run';
    return new DeadlineExceededError('No response before the deadline.', { props: { outcome } });
  }
  if (progress.stopCause === 'version-unknown' || progress.stopCause === 'version-gone') {
    return new StreamVersionError(`The stream cannot be resumed: ${cause}.`, {
      props: { retryAfterMs: progress.retryAfterMs },
    });
  }
  const message = `No server accepted the request: ${cause}.`;
  const createError = hasReachedNoServer(progress) ? createUnreachableError : createNoServerError;
  return createError({ message, retryAfterMs: progress.retryAfterMs });
}

function routeKind({ delivery, resumable, idempotent }: Route): string {
  if (delivery === 'events') {
    return resumable ? 'resumable-stream' : 'stream';
  }
  return idempotent ? 'call' : 'order';
}

/** Why a response that has started cannot be completed. */
function describeStop(
  { stopCause }: ExchangeProgress,
  isExpired: boolean,
  isClosing: boolean,
): string {
  if (isExpired) {
    return 'deadline';
  }
  return isClosing ? 'shutdown' : stopCause;
}

/** Ends an exchange that no attempt delivered. Returns the status sent, or 0 when none could be. */
export function sendFinalResponse(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  isExpired: boolean,
): number {
  const { responseWriter } = exchange;
  if (responseWriter.disconnected.aborted) {
    return 0;
  }
  if (responseWriter.isStarted()) {
    context.metrics.increment('incomplete_responses', {
      kind: routeKind(exchange.route),
      failure: progress.lastFailure ?? 'none',
      stop: describeStop(progress, isExpired, context.closing.aborted),
    });
    responseWriter.abort();
    return 0;
  }
  if (progress.errorResponse !== undefined) {
    const { status, headers, body } = progress.errorResponse;
    responseWriter.send(status, headers, body);
    return status;
  }
  if (hasReachedNoServer(progress)) {
    // Servers are usually reached again after some seconds; callers return only a few times.
    const remainingMs = exchange.deadlineAtMs - context.clock.monotonicMs();
    progress.retryAfterMs = Math.max(
      progress.retryAfterMs,
      Math.min(MAX_UNREACHABLE_RETRY_MS, remainingMs * UNREACHABLE_RETRY_RATIO),
    );
  }
  const error = createFinalError(progress, isExpired, context.closing.aborted);
  const relayed = exchange.relayedBy === undefined ? undefined : progress;
  sendErrorResponse(responseWriter, context.codec, error, relayed);
  return error.statusCode;
}
