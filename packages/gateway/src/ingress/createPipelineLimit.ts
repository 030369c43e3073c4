import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Requests of a connection whose responses have not ended; clients that wait have one. */
const MAX_UNANSWERED_REQUESTS = 64;

interface Pipeline {
  unansweredCount: number;
  latestResponse: ServerResponse | undefined;
  isClosing: boolean;
}

/** Limit on the requests that a client may send ahead on a connection. */
export interface PipelineLimit {
  /** Whether a new request may run. The connection of one that may not closes after those before. */
  admits(request: IncomingMessage, response: ServerResponse): boolean;
  /**
   * Drops all further input of a connection whose last response was sent. Returns false if it is
   * dropped already.
   */
  dropInput(socket: Socket): boolean;
}

/** Reads and drops all further input: a socket that is not read does not report its end. */
function stopParsing(socket: Socket): void {
  socket.removeAllListeners('data');
  socket.on('data', () => undefined);
}

/** Announces the close with the response, or closes the connection behind one that has begun. */
function closeAfter(response: ServerResponse, socket: Socket): void {
  if (!response.headersSent) {
    response.shouldKeepAlive = false;
  }
  response.once('close', () => socket.destroySoon());
}

/**
 * Creates the limit on requests sent ahead. Requests that may not run get no response: the last
 * response of the connection says that none follows.
 *
 * @param onExceeded called once for a connection that exceeds the limit
 */
export function createPipelineLimit(onExceeded: () => void): PipelineLimit {
  const pipelines = new WeakMap<Socket, Pipeline>();

  function pipelineOf(socket: Socket): Pipeline {
    const pipeline = pipelines.get(socket) ?? {
      unansweredCount: 0,
      latestResponse: undefined,
      isClosing: false,
    };
    pipelines.set(socket, pipeline);
    return pipeline;
  }

  function dropInput(socket: Socket): boolean {
    const pipeline = pipelineOf(socket);
    if (pipeline.isClosing) {
      return false;
    }
    pipeline.isClosing = true;
    stopParsing(socket);
    return true;
  }

  return {
    dropInput,
    admits(request, response) {
      const { socket } = request;
      const pipeline = pipelineOf(socket);
      if (pipeline.isClosing || socket.destroyed) {
        return false;
      }
      if (pipeline.unansweredCount >= MAX_UNANSWERED_REQUESTS && pipeline.latestResponse) {
        dropInput(socket);
        onExceeded();
        closeAfter(pipeline.latestResponse, socket);
        return false;
      }
      pipeline.unansweredCount += 1;
      pipeline.latestResponse = response;
      response.once('close', () => {
        pipeline.unansweredCount -= 1;
      });
      return true;
    },
  };
}
