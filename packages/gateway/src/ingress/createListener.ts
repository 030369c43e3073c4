import { createServer } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { once } from 'node:events';
import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';
import type { CallerLimits } from '../model/CallerLimits.js';
import type { Endpoint } from '../model/Endpoint.js';
import { handleConnectionErrors } from './handleConnectionErrors.js';

/** Maximum size of a request head that is parsed; the configuration may set a lower limit. */
const MAX_HEADER_BYTES = 65_536;
/** Interval at which connections are checked for timeouts. */
const TIMEOUT_CHECK_MS = 500;

export interface ListenerOptions {
  /** Name in metrics and logs. */
  readonly name: 'callers' | 'peers' | 'directory' | 'readiness' | 'metrics';
  readonly endpoint: Endpoint;
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
  /** Connections over this limit are closed immediately. */
  readonly maxConnections: number;
}

export interface Listener {
  /** Applies the limits of a new configuration. */
  applyLimits(limits: CallerLimits): void;
  readonly server: Server;
  /** Accepts no further connections. Requests on open ones are still handled. */
  stopListening(): void;
  /** Stops listening and closes every connection immediately. */
  close(): void;
}

/** Starts an HTTP listener. */
export async function createListener(options: ListenerOptions): Promise<Listener> {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
    requestTimeout: 0,
    noDelay: true,
  });
  server.maxConnections = options.maxConnections;
  handleConnectionErrors(server, options);
  server.on('request', (request, response) => {
    options.handle(request, response).catch((error: unknown) => {
      options.log.error('request-handler-failed', {}, error);
      response.destroy();
    });
  });
  server.listen(options.endpoint.port, options.endpoint.host);
  await once(server, 'listening');
  return {
    server,
    applyLimits(limits) {
      server.headersTimeout = limits.headerTimeoutMs;
      server.keepAliveTimeout = limits.idleTimeoutMs;
    },
    stopListening() {
      // The method of the HTTP server would also close idle connections, on which a request may be
      // on its way that the handler can still reject.
      NetServer.prototype.close.call(server);
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
