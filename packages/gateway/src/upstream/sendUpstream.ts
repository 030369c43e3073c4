import { request as httpRequest } from 'node:http';
import type { Agent, IncomingMessage } from 'node:http';
import { PlatformError } from '@camphorbarrow/core';
import type { Endpoint } from '../model/Endpoint.js';

/** Why an exchange with a server or a peer gave no answer. */
export type SendFailure = 'unreachable' | 'broken' | 'silent' | 'cancelled';

export type SendResult =
  | { readonly kind: 'answer'; readonly response: IncomingMessage }
  | {
      readonly kind: 'failed';
      readonly failure: SendFailure;
      /** Whether a byte of the request may have reached the other end. */
      readonly mayHaveRun: boolean;
      readonly cause: string;
    };

export interface UpstreamRequest {
  readonly agent: Agent;
  readonly endpoint: Endpoint;
  readonly method: string;
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connectTimeoutMs: number;
  /** Time for the head of the answer; undefined for no limit of its own. */
  readonly responseTimeoutMs: number | undefined;
  /** Asked when that time is over; while the other end is alive, the wait goes on. */
  readonly isAlive?: () => boolean;
  readonly signal: AbortSignal;
}

/**
 * A reset that arrives with the last bytes can be reported as an end of the stream, which would
 * make a broken answer without a length look complete. The kernel no longer knows the peer of a
 * connection that was reset.
 */
function refuseHiddenReset(response: IncomingMessage): void {
  const { socket, headers } = response;
  const isFramed =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  if (!isFramed) {
    socket.prependOnceListener('end', () => {
      if (socket.remoteAddress === undefined) {
        response.destroy(new PlatformError('The connection was reset.'));
      }
    });
  }
}

/**
 * Sends one request and resolves with the head of the answer. Never rejects. Once the request may
 * have left this process, every failure says so.
 */
export function sendUpstream(options: UpstreamRequest): Promise<SendResult> {
  return new Promise((resolve) => {
    let connected = false;
    let failure: SendFailure = 'broken';
    const timers: NodeJS.Timeout[] = [];

    const outgoing = httpRequest({
      agent: options.agent,
      host: options.endpoint.host,
      port: options.endpoint.port,
      method: options.method,
      path: options.path,
      headers: options.headers as string[],
    });

    function stop(reason: SendFailure): void {
      failure = reason;
      outgoing.destroy();
    }

    const onAbort = (): void => stop('cancelled');

    function settle(result: SendResult): void {
      timers.forEach(clearTimeout);
      options.signal.removeEventListener('abort', onAbort);
      resolve(result);
    }

    outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        connected = true;
        return;
      }
      const timer = setTimeout(() => stop('unreachable'), options.connectTimeoutMs);
      timers.push(timer);
      socket.once('connect', () => {
        connected = true;
        clearTimeout(timer);
      });
    });
    function watchSilence(timeoutMs: number): void {
      const timer = setTimeout(() => {
        if (options.isAlive?.() === true) {
          watchSilence(timeoutMs);
        } else {
          stop('silent');
        }
      }, timeoutMs);
      timers.push(timer);
    }
    if (options.responseTimeoutMs !== undefined) {
      watchSilence(options.responseTimeoutMs);
    }
    let answer: IncomingMessage | undefined;
    outgoing.on('response', (response) => {
      answer = response;
      refuseHiddenReset(response);
      settle({ kind: 'answer', response });
    });
    outgoing.on('error', (error) => {
      // The parser takes a reset for the end of an answer without a length; its reader must not.
      answer?.destroy(error);
      settle({
        kind: 'failed',
        failure: connected || failure === 'cancelled' ? failure : 'unreachable',
        mayHaveRun: connected,
        cause: error.message,
      });
    });
    outgoing.on('close', () => {
      settle({ kind: 'failed', failure, mayHaveRun: connected, cause: 'closed' });
    });

    if (options.signal.aborted) {
      stop('cancelled');
      return;
    }
    options.signal.addEventListener('abort', onAbort, { once: true });
    outgoing.end(options.body);
  });
}
