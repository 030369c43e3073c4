import { BackendFailedError } from '../errors/BackendFailedError.js';
import { ConnectFailedError } from '../errors/ConnectFailedError.js';
import { DeadlineExceededError } from '../errors/DeadlineExceededError.js';
import { NoServerError } from '../errors/NoServerError.js';
import type { ServiceRequest } from '../gateway/ServiceRequest.js';
import type { Clock } from '../ports/Clock.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';
import type { ServerView } from '../routing/ServerView.js';
import { chooseServiceServer } from './chooseServiceServer.js';
import type { DispatchQueue } from './createDispatchQueue.js';
import type { OrderDispatchOptions } from './createOrderDispatch.js';
import { toServiceCall } from './toServiceCall.js';

export interface RepeatableDispatchOptions extends OrderDispatchOptions {
  readonly clock: Clock;
  readonly dispatchQueue: DispatchQueue;
}

/** Sends a repeatable call. Rejects with a `RequestError`, or with the caller's abort reason. */
export type RepeatableDispatch = (
  request: ServiceRequest,
  signal: AbortSignal,
) => Promise<ServiceAnswer>;

/** Status codes after which another server may be able to serve the call. */
const RETRYABLE_STATUS_CODES = new Set([429, 502, 503, 504]);

/** Creates the dispatch of repeatable calls. A failed call is retried at another server. */
export function createRepeatableDispatch(options: RepeatableDispatchOptions): RepeatableDispatch {
  const { clock, registry, log } = options;

  async function send(
    request: ServiceRequest,
    server: ServerView,
    signal: AbortSignal,
    onBeforeSend: () => void,
  ): Promise<ServiceAnswer> {
    const reservation = registry.reserve(server.entry.serverId, 0);
    try {
      return await options.serviceClient.call(
        toServiceCall(request, server, { freshConnection: false, onBeforeSend }),
        signal,
      );
    } finally {
      reservation.release();
    }
  }

  async function tryServers(
    request: ServiceRequest,
    signal: AbortSignal,
    onBeforeSend: () => void,
  ): Promise<ServiceAnswer | undefined> {
    const tried = new Set<string>();
    let lastResponse: ServiceAnswer | undefined;
    while (tried.size < request.context.settings.retry.maxAttempts) {
      await options.dispatchQueue.wait(signal);
      if (signal.aborted) {
        break;
      }
      const server = chooseServiceServer(registry, request.serviceName, tried, options.random);
      if (server === undefined) {
        break;
      }
      const { serverId } = server.entry;
      tried.add(serverId);
      try {
        lastResponse = await send(request, server, signal, onBeforeSend);
        if (!RETRYABLE_STATUS_CODES.has(lastResponse.statusCode)) {
          return lastResponse;
        }
      } catch (cause) {
        const error = cause instanceof Error ? cause.name : 'unknown';
        log.warn('attempt-failed', { requestId: request.context.requestId, serverId, error });
        if (cause instanceof ConnectFailedError) {
          registry.markUnreachable(serverId);
        }
      }
    }
    if (tried.size === 0 && !signal.aborted) {
      throw new NoServerError(`No live backend server runs service ${request.serviceName}.`);
    }
    return lastResponse;
  }

  return async (request, signal) => {
    const { deadlineMs, receivedAtMs } = request.context;
    const deadlineController = new AbortController();
    const callSignal = AbortSignal.any([signal, deadlineController.signal]);
    const timerController = new AbortController();
    let isExpired = false;
    let isPossiblyRun = false;
    if (deadlineMs !== undefined) {
      const remainingMs = Math.max(0, receivedAtMs + deadlineMs - clock.monotonicMs());
      void clock.sleep(remainingMs, timerController.signal).then(
        () => {
          isExpired = true;
          deadlineController.abort();
        },
        () => undefined,
      );
    }
    try {
      const response = await tryServers(request, callSignal, () => {
        isPossiblyRun = true;
      });
      if (response !== undefined) {
        return response;
      }
    } finally {
      timerController.abort();
    }
    signal.throwIfAborted();
    const props = { outcome: isPossiblyRun ? ('unknown' as const) : ('not-run' as const) };
    if (isExpired) {
      throw new DeadlineExceededError('The deadline passed before the service responded.', {
        props,
      });
    }
    throw new BackendFailedError('No backend server responded to the call.', { props });
  };
}
