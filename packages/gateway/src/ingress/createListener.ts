import { createServer } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { handleConnectionErrors, waitForPoll } from '@camphorbarrow/core';
import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';
import type { CallerLimits } from '../model/CallerLimits.js';
import type { Endpoint } from '../model/Endpoint.js';
import { closeIdleAtLimit } from './closeIdleAtLimit.js';
import type { ConnectionMemory } from './createConnectionMemory.js';
import { createConnectionReport } from './createConnectionReport.js';
import { createHeldLimit } from './createHeldLimit.js';
import { createPipelineLimit } from './createPipelineLimit.js';
import { lingerOnClose } from './lingerOnClose.js';
import { listenWithRetry } from './listenWithRetry.js';
import { logListenerErrors } from './logListenerErrors.js';

/** Maximum size of a request head that is parsed; the configuration may set a lower limit. */
const MAX_HEADER_BYTES = 65_536;
/** Interval at which connections are checked for late heads of requests. */
const TIMEOUT_CHECK_MS = 500;
const DEFAULT_IDLE_TIMEOUT_MS = 5_000;
/** Time limit for accepting the connections that wait when a listener stops. */
const MAX_ACCEPT_MS = 200;
const MS_PER_S = 1_000;

export interface ListenerOptions {
  /** Name in metrics and logs. */
  readonly name: 'callers' | 'peers' | 'directory' | 'readiness' | 'metrics';
  readonly endpoint: Endpoint;
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
  /** Connections over this limit are closed immediately, unless a `ConnectionLimit` is applied. */
  readonly maxConnections: number;
  /** Called for each accepted connection. */
  readonly onAccept?: () => void;
  /** Idle time of connections until the limits of a configuration are applied. @default 5,000 */
  readonly idleTimeoutMs?: number;
  /** Memory of the requests of all listeners; unlimited by default. */
  readonly connectionMemory?: ConnectionMemory;
  /** Whether unread responses have to give up their memory. @default always */
  readonly isMemoryShort?: () => boolean;
  /** Whether connections that were used may be closed for new ones. @default false */
  readonly closesUsedAtLimit?: boolean;
}

/** The idle time is announced to clients in whole seconds. */
const toAnnouncedMs = (idleTimeoutMs: number): number =>
  Math.max(1, Math.ceil(idleTimeoutMs / MS_PER_S)) * MS_PER_S;

export interface Listener {
  /**
   * Applies the limits of the configuration in force, also to open connections. Callers may not know
   * of a lower limit yet: an idle connection stays open for the time that was announced on it, and a
   * lower time limit for heads holds once the previous one has passed.
   */
  applyLimits(limits: CallerLimits): void;
  readonly server: Server;
  /** Whether connections are accepted, or wait for it. */
  isListening(): boolean;
  /**
   * Accepts the connections that wait, and no further ones. Requests on open connections are still
   * handled.
   */
  stopListening(): Promise<void>;
  /** Connections whose last response was sent and whose callers have not closed them. */
  lingeringCount(): number;
  /** Stops listening and closes every connection immediately. */
  close(): void;
}

/**
 * Starts an HTTP listener. Attempts to listen go on after the first, until its endpoint is available.
 */
export async function createListener(options: ListenerOptions): Promise<Listener> {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
    requestTimeout: 0,
    keepAliveTimeout: toAnnouncedMs(options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS),
    noDelay: true,
  });
  // Node.js drops the fields beyond its default limit; their size is limited.
  server.maxHeadersCount = 0;
  const report = createConnectionReport(options);
  const pipelineLimit = createPipelineLimit(() => report({ cause: 'requests-ahead' }));
  let acceptedCount = 0;
  server.on('connection', (socket) => {
    acceptedCount += 1;
    // Node.js takes its own listener away when it reads a CONNECT request.
    socket.on('error', () => undefined);
    options.onAccept?.();
  });
  const headerTimeout = createHeldLimit(options.clock);
  server.maxConnections = options.maxConnections;
  const lingering = lingerOnClose(server);
  handleConnectionErrors(server, {
    clock: options.clock,
    onClose: report,
    isMemoryShort: options.isMemoryShort ?? ((): boolean => true),
  });
  // Hosts send whole heads, and much of the traffic is between them.
  const countsInput = options.name !== 'peers';
  options.connectionMemory?.apply(server, countsInput, () => report({ cause: 'memory' }));
  closeIdleAtLimit(server, {
    clock: options.clock,
    includesUsed: options.closesUsedAtLimit ?? false,
    onClose: () => report({ cause: 'idle-at-limit' }),
  });
  server.on('request', (request, response) => {
    if (request.socket.writableEnded && pipelineLimit.dropInput(request.socket)) {
      // The last response of the connection was sent, and may say that no further request runs.
      options.log.info('request-not-read', { reason: 'connection-closes' });
    }
    if (!pipelineLimit.admits(request, response)) {
      return;
    }
    // The close event follows, which the handler notices.
    response.on('error', (error) =>
      options.log.error('response-error', { listener: options.name }, error),
    );
    const handled = options.handle(request, response).catch((error: unknown) => {
      options.log.error('request-handler-failed', {}, error);
      response.destroy();
    });
    options.connectionMemory?.holdWhile(request, handled);
  });
  const stopRetries = new AbortController();
  // Until then, an error says that the endpoint is not available.
  server.once('listening', () => logListenerErrors(server, options));
  await listenWithRetry(server, { ...options, signal: stopRetries.signal });
  return {
    server,
    isListening: () => server.listening,
    applyLimits({ headerTimeoutMs, idleTimeoutMs }) {
      server.headersTimeout = headerTimeout.apply(headerTimeoutMs);
      server.keepAliveTimeout = toAnnouncedMs(idleTimeoutMs);
    },
    async stopListening() {
      stopRetries.abort();
      let acceptedBefore: number;
      const endAtMs = options.clock.monotonicMs() + MAX_ACCEPT_MS;
      do {
        acceptedBefore = acceptedCount;
        // A poll accepts a single connection.
        await waitForPoll();
      } while (acceptedCount > acceptedBefore && options.clock.monotonicMs() < endAtMs);
      // The method of the HTTP server would also close idle connections, on which a request may be
      // on its way that the handler can still reject.
      NetServer.prototype.close.call(server);
    },
    lingeringCount: lingering.count,
    close() {
      stopRetries.abort();
      server.close();
      server.closeAllConnections();
    },
  };
}
