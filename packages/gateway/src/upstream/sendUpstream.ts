import { request as httpRequest, validateHeaderName, validateHeaderValue } from 'node:http';
import type { Agent, ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { PlatformError, startInputTimeout } from '@camphorbarrow/core';
import type { InputTimeout } from '@camphorbarrow/core';
import type { Endpoint } from '../model/Endpoint.js';
import { limitResponseHead } from './limitResponseHead.js';

/** Lower codes announce a response or change the protocol; they are no answer to a request. */
const MIN_STATUS = 200;
/** Codes above belong to no class of responses. */
const MAX_STATUS = 599;

/**
 * Why a server or a peer returned no response. `invalid`: the HTTP client rejected the request, such
 * as a header value that it cannot send. `malformed`: the response has a status or a header that
 * cannot be passed on.
 */
export type SendFailure =
  'invalid' | 'unreachable' | 'broken' | 'malformed' | 'silent' | 'cancelled';

export type SendResult =
  | { readonly kind: 'response'; readonly response: IncomingMessage }
  | {
      readonly kind: 'failed';
      readonly failure: SendFailure;
      /** Whether any byte of the request may have reached the other end. */
      readonly mayHaveRun: boolean;
      readonly cause: string;
      /** Whether no process listens at the endpoint. */
      readonly isRefused?: boolean;
    };

export interface UpstreamRequest {
  readonly agent: Agent;
  readonly endpoint: Endpoint;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly connectTimeoutMs: number;
  /** Called with the connection, once it is open and before the request is written to it. */
  readonly onConnection?: (socket: Socket) => void;
  /** Timeout for the response head, from the write of the request; undefined for none. */
  readonly responseTimeoutMs: number | undefined;
  /** Checked when the response timeout elapses; while it returns true, the timeout is restarted. */
  readonly keepWaiting?: () => boolean;
  readonly signal: AbortSignal;
  /** Cancels the request only until it is written to a connection. @default `signal` */
  readonly startSignal?: AbortSignal;
  /** Awaited between the establishment of a new connection and writing to it. */
  readonly beforeWrite?: () => Promise<void>;
}

/**
 * Destroys a response without a length that ends too early. A reset that arrives together with the
 * last bytes can be reported as a normal end of the stream, which would make a broken response look
 * complete. It is detected by the peer address, which the kernel no longer has after a reset. A
 * server that closes the connection before it has taken the whole request was cut off in a success,
 * too: the reset follows its end. It may reject a request before it has taken all of it.
 */
function detectEarlyEnd(outgoing: ClientRequest, response: IncomingMessage): void {
  const { socket, headers, statusCode = 0 } = response;
  const isSuccess = statusCode >= 200 && statusCode < 300;
  const isFramed =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  if (!isFramed) {
    socket.prependOnceListener('end', () => {
      if (socket.remoteAddress === undefined || (isSuccess && !outgoing.writableFinished)) {
        response.destroy(new PlatformError('The connection ended early.'));
      }
    });
  }
}

/** Start of a response inside a line of a head. */
const STATUS_LINE = /HTTP\/\d\.\d +\d{3}/;

/**
 * Whether the head can be passed on. The HTTP client accepts names and values of headers, and status
 * codes, that the HTTP server rejects with an exception. A head with a second status line consists of
 * two: bytes that belong to no request, broken off inside a line, were on their way when the request
 * was sent, and what stands before that line says nothing about it.
 */
function isWellFormed({
  statusCode = 0,
  statusMessage = '',
  rawHeaders,
}: IncomingMessage): boolean {
  if (STATUS_LINE.test(statusMessage) || rawHeaders.some((text) => STATUS_LINE.test(text))) {
    return false;
  }
  try {
    rawHeaders.forEach((text, index) => {
      if (index % 2 === 0) {
        validateHeaderName(text);
      } else {
        validateHeaderValue(rawHeaders[index - 1] ?? '', text);
      }
    });
    return statusCode >= MIN_STATUS && statusCode <= MAX_STATUS;
  } catch {
    return false;
  }
}

const buildRequest = (options: UpstreamRequest): ClientRequest =>
  httpRequest({
    agent: options.agent,
    host: options.endpoint.host,
    port: options.endpoint.port,
    method: options.method,
    path: options.path,
    headers: options.headers as string[],
  });

/**
 * Sends one request and resolves with the response head. Never rejects. A failure after which the
 * request may have reached the other end is marked with `mayHaveRun`.
 */
export function sendUpstream(options: UpstreamRequest): Promise<SendResult> {
  return new Promise((resolve) => {
    const { startSignal = options.signal } = options;
    /** Whether bytes of the request may have been sent. */
    let written = false;
    let failure: SendFailure = 'broken';
    let connectTimeout: InputTimeout | undefined;
    let responseTimeout: InputTimeout | undefined;

    let outgoing: ClientRequest;
    try {
      outgoing = buildRequest(options);
    } catch (error) {
      const cause = `invalid request: ${(error as Error).message}`;
      resolve({ kind: 'failed', failure: 'invalid', mayHaveRun: false, cause });
      return;
    }

    function cancel(reason: SendFailure): void {
      failure = reason;
      const { socket } = outgoing;
      // After an orderly close, the kernel would send the bytes that the other end has not
      // acknowledged again, and deliver the request when a link that is cut comes back.
      if (written && socket?.writableEnded === false) {
        socket.resetAndDestroy();
      }
      outgoing.destroy();
    }

    const onAbort = (): void => cancel('cancelled');
    const onStartAbort = (): void => {
      if (!written) {
        cancel('cancelled');
      }
    };

    function settle(result: SendResult): void {
      connectTimeout?.close();
      responseTimeout?.close();
      options.signal.removeEventListener('abort', onAbort);
      startSignal.removeEventListener('abort', onStartAbort);
      resolve(result);
    }

    function startResponseTimeout(timeoutMs: number): void {
      responseTimeout = startInputTimeout(timeoutMs, () => {
        if (options.keepWaiting?.() === true) {
          startResponseTimeout(timeoutMs);
        } else {
          cancel('silent');
        }
      });
    }

    function write(): void {
      if (!outgoing.destroyed) {
        written = true;
        outgoing.end(options.body);
        if (options.responseTimeoutMs !== undefined) {
          startResponseTimeout(options.responseTimeoutMs);
        }
      }
    }

    outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        options.onConnection?.(socket);
        write();
        return;
      }
      connectTimeout = startInputTimeout(options.connectTimeoutMs, () => cancel('unreachable'));
      socket.once('connect', () => {
        connectTimeout?.close();
        options.onConnection?.(socket);
        void (options.beforeWrite?.() ?? Promise.resolve())
          .then(write)
          .catch((error: Error) => outgoing.destroy(error));
      });
    });
    limitResponseHead(outgoing, () => cancel('broken'));
    let receivedResponse: IncomingMessage | undefined;
    outgoing.on('response', (response) => {
      receivedResponse = response;
      if (!isWellFormed(response)) {
        // Its bytes are not parsed any further, so the connection can't be used again.
        response.on('error', () => undefined);
        outgoing.destroy();
        settle({
          kind: 'failed',
          failure: 'malformed',
          mayHaveRun: true,
          cause: 'malformed response head',
        });
        return;
      }
      detectEarlyEnd(outgoing, response);
      settle({ kind: 'response', response });
    });
    outgoing.on('error', (error) => {
      // The parser treats a reset as the end of a response without a length; its reader must get an
      // error. A response that is complete stays readable: the error is about the bytes after it.
      if (receivedResponse?.complete === false) {
        receivedResponse.destroy(error);
      }
      settle({
        kind: 'failed',
        failure: written || failure === 'cancelled' ? failure : 'unreachable',
        mayHaveRun: written,
        cause: error.message,
        isRefused: (error as NodeJS.ErrnoException).code === 'ECONNREFUSED',
      });
    });
    outgoing.on('close', () => {
      settle({ kind: 'failed', failure, mayHaveRun: written, cause: 'closed' });
    });

    if (options.signal.aborted || startSignal.aborted) {
      cancel('cancelled');
      return;
    }
    options.signal.addEventListener('abort', onAbort, { once: true });
    startSignal.addEventListener('abort', onStartAbort, { once: true });
  });
}
