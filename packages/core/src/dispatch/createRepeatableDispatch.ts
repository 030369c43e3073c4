import { BackendFailedError } from '../errors/BackendFailedError.js';
import { ConnectFailedError } from '../errors/ConnectFailedError.js';
import { DeadlineExceededError } from '../errors/DeadlineExceededError.js';
import { NoServerError } from '../errors/NoServerError.js';
import type { ServiceRequest } from '../gateway/ServiceRequest.js';
import type { Clock } from '../ports/Clock.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';
import type { ServerView } from '../routing/ServerView.js';
import { chooseServiceServer } from './chooseServiceServer.js';
import type { OrderDispatchOptions } from './createOrderDispatch.js';
import { toServiceCall } from './toServiceCall.js';

export interface RepeatableDispatchOptions extends OrderDispatchOptions {
  readonly clock: Clock;
}

/** Sends a repeatable call. Rejects with a `RequestError`, or with the caller's abort reason. */
export type RepeatableDispatch = (
  request: ServiceRequest,
  signal: AbortSignal,
) => Promise<ServiceAnswer>;

/** Statuses of a server that cannot serve the call while another one may. */
const RETRIED_STATUS_CODES = new Set([429, 502, 503, 504]);

/** Creates the dispatch of repeatable calls: a failed call is sent to another server. */
export function createRepeatableDispatch(options: RepeatableDispatchOptions): RepeatableDispatch {
  const { clock, registry, log } = options;

  async function send(
    request: ServiceRequest,
    server: ServerView,
    signal: AbortSignal,
    onPossiblyRun: () => void,
  ): Promise<ServiceAnswer> {
    const reservation = registry.reserve(server.entry.serverId, 0);
    try {
      return await options.serviceClient.call(
        toServiceCall(request, server, { freshConnection: false, onBeforeSend: onPossiblyRun }),
        signal,
      );
    } finally {
      reservation.release();
    }
  }

  async function tryServers(
    request: ServiceRequest,
    signal: AbortSignal,
    onPossiblyRun: () => void,
  ): Promise<ServiceAnswer | undefined> {
    const tried = new Set<string>();
    let lastAnswer: ServiceAnswer | undefined;
    while (!signal.aborted && tried.size < request.context.settings.retry.maxAttempts) {
      const server = chooseServiceServer(registry, request.serviceName, tried, options.random);
      if (server === undefined) {
        break;
      }
      const { serverId } = server.entry;
      tried.add(serverId);
      try {
        lastAnswer = await send(request, server, signal, onPossiblyRun);
        if (!RETRIED_STATUS_CODES.has(lastAnswer.statusCode)) {
          return lastAnswer;
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
    return lastAnswer;
  }

  return async (request, signal) => {
    const { deadlineMs, receivedAtMs } = request.context;
    const ending = new AbortController();
    const ended = AbortSignal.any([signal, ending.signal]);
    const stopTimer = new AbortController();
    let expired = false;
    let possiblyRun = false;
    if (deadlineMs !== undefined) {
      const remainingMs = Math.max(0, receivedAtMs + deadlineMs - clock.monotonicMs());
      void clock.sleep(remainingMs, stopTimer.signal).then(
        () => {
          expired = true;
          ending.abort();
        },
        () => undefined,
      );
    }
    try {
      const answer = await tryServers(request, ended, () => {
        possiblyRun = true;
      });
      if (answer !== undefined) {
        return answer;
      }
    } finally {
      stopTimer.abort();
    }
    signal.throwIfAborted();
    const props = { outcome: possiblyRun ? ('unknown' as const) : ('not-run' as const) };
    if (expired) {
      throw new DeadlineExceededError('The deadline passed before the service answered.', {
        props,
      });
    }
    throw new BackendFailedError('No backend server answered the call.', { props });
  };
}
