import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { runAfterPoll } from '@camphorbarrow/core';

const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

const statusLines: Readonly<Record<string, string>> = {
  [REQUEST_TIMEOUT_CODE]: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

/** A request and its response. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Sends an error response, after the response to a complete request, and closes the connection. */
function closeWithError(socket: Socket, code: string, latest: Exchange | undefined): void {
  if (socket.destroyed) {
    return;
  }
  const isPending = latest !== undefined && !latest.response.closed;
  if (isPending && latest.request.complete) {
    latest.response.once('close', () => closeWithError(socket, code, undefined));
    return;
  }
  const isSending = isPending && latest.response.headersSent;
  if (socket.writable && !isSending) {
    const statusLine = statusLines[code] ?? '400 Bad Request';
    socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }
  socket.destroySoon();
}

/**
 * Closes idle and faulty connections of a server. A timeout counts only after the sockets have been
 * read, as the process may have been paused while a request arrived.
 */
export function handleConnectionErrors(server: Server): void {
  /** Latest request of a connection. */
  const exchanges = new WeakMap<Socket, Exchange>();

  server.on('request', (request, response) => {
    exchanges.set(request.socket, { request, response });
  });

  // Node.js closes the connection itself only if nobody listens to this event. Input that is read
  // restarts the timeout.
  server.on('timeout', (socket) => {
    const { bytesRead } = socket;
    runAfterPoll(() => {
      if (socket.bytesRead === bytesRead) {
        socket.destroy();
      }
    });
  });

  // The listener of fastify closes at once.
  server.removeAllListeners('clientError');
  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    const code = error.code ?? '';
    if (code !== REQUEST_TIMEOUT_CODE) {
      closeWithError(socket, code, exchanges.get(socket));
      return;
    }
    const latest = exchanges.get(socket);
    const wasComplete = latest?.request.complete ?? true;
    runAfterPoll(() => {
      const hasArrived =
        exchanges.get(socket) !== latest || (!wasComplete && latest?.request.complete === true);
      if (!hasArrived) {
        closeWithError(socket, code, latest);
      }
    });
  });
}
