import type { Clock, LogSink } from '@camphorbarrow/core';
import type { Endpoint } from '../model/Endpoint.js';
import { retryUntilAvailable } from './retryUntilAvailable.js';

/** Pause between attempts; another process may hold the port, or a connection that it made. */
const RETRY_PAUSE_MS = 100;

export interface OpenEndpointOptions {
  readonly endpoint: Endpoint;
  readonly clock: Clock;
  readonly log: LogSink;
  /** Name of the listener in logs. */
  readonly name: string;
  /** Ends the attempts. */
  readonly signal: AbortSignal;
}

/**
 * Attempts to open an endpoint of this host until that succeeds, whatever the error. Resolves after
 * the first attempt; further ones go on in the background.
 */
export function openEndpoint(
  attempt: () => Promise<void>,
  { endpoint, clock, log, name, signal }: OpenEndpointOptions,
): Promise<void> {
  const fields = { listener: name, endpoint: `${endpoint.host}:${endpoint.port}` };
  let hasFailed = false;
  return new Promise((resolve) => {
    const opened = retryUntilAvailable(() => attempt().finally(resolve), {
      clock,
      signal,
      pauseMs: RETRY_PAUSE_MS,
      onFailure({ message }, waitedMs) {
        hasFailed = true;
        log.error('endpoint-unavailable', { ...fields, reason: message, waitedMs });
      },
    });
    void opened.then(() => {
      if (hasFailed && !signal.aborted) {
        log.info('endpoint-opened', fields);
      }
    });
  });
}
