import type { IncomingMessage, Server } from 'node:http';
import type { Socket } from 'node:net';
import { parseByPieces } from './parseByPieces.js';

/** Memory that a request takes until its response has ended, apart from its header fields. */
const REQUEST_BYTES = 12_288;
/** Memory of a header field, apart from its text. */
const FIELD_BYTES = 160;
/** Parsed memory per byte of a head that has not ended, for the shortest fields. */
const HEAD_EXPANSION = 12;
/** Size on the wire of what stands between the texts of a header field. */
const FIELD_SEPARATOR_BYTES = 4;
/** Size on the wire of a head apart from its fields, method and target. */
const FRAME_BYTES = ' '.length + ' HTTP/1.1\r\n'.length + '\r\n'.length;
/** Spaces around the values of a head, which the parser drops, are taken for input up to here. */
const PADDING_BYTES = 64;
/** End of a head and of a body in chunks. */
const MESSAGE_END = '\r\n\r\n';
/** Prefix of the error codes of the parser. */
const PARSE_ERROR_PREFIX = 'HPE_';
/** Connections that hold less are never closed to make room. */
const SPARED_BYTES = 49_152;

interface HeldRequest {
  readonly memoryBytes: number;
  /** Whether the response has ended, or its connection was closed. */
  isClosed: boolean;
  /** Whether a handler still uses the request, such as for an order that goes on without its caller. */
  isHandled: boolean;
}

interface Holder {
  heldBytes: number;
  readonly requests: Set<HeldRequest>;
  /** Input of a request whose head has not ended. */
  headBytes: number;
  /** Input less the size of the requests that were parsed; negative within a body. */
  balanceBytes: number;
  latestRequest: IncomingMessage | undefined;
  /** Whether a request has been in progress since the last read, or came with it. */
  hasParsed: boolean;
  /** Whether the input is malformed. */
  hasFailed: boolean;
  readonly close: () => void;
}

/** Memory of requests in progress, apart from their bodies, over the connections of all listeners. */
export interface ConnectionMemory {
  /**
   * Accounts for the connections of a server, from the first byte of a request until its response
   * has ended and `holdWhile` does not hold it any more.
   *
   * @param countsInput whether heads that have not ended count, which takes processor time for each
   *   read; clients of the server that are trusted to end theirs do without
   * @param onClose called when a connection is closed to make room
   */
  apply(server: Server, countsInput: boolean, onClose: () => void): void;
  /** Goes on to account for the request after its connection was closed, until it is handled. */
  holdWhile(request: IncomingMessage, handled: Promise<unknown>): void;
  /** Whether the request has to be rejected because there is no memory for it. */
  isExceededBy(request: IncomingMessage): boolean;
  heldBytes(): number;
}

function describeHead(request: IncomingMessage): { memoryBytes: number; wireBytes: number } {
  const { rawHeaders, method = '', url = '' } = request;
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  const fields = rawHeaders.length / 2;
  return {
    memoryBytes: REQUEST_BYTES + textBytes + fields * FIELD_BYTES,
    wireBytes:
      method.length + url.length + FRAME_BYTES + textBytes + fields * FIELD_SEPARATOR_BYTES,
  };
}

/** Input that the parser keeps after it has read the chunk, as part of a head. */
function findHeadBytes({ latestRequest, hasParsed, balanceBytes }: Holder, chunk: Buffer): number {
  if (latestRequest?.complete === false) {
    return 0;
  }
  if (!hasParsed) {
    return balanceBytes;
  }
  // A message has ended within the chunk.
  const isEnd = chunk.subarray(-MESSAGE_END.length).toString('latin1') === MESSAGE_END;
  const restBytes = Math.min(balanceBytes, chunk.length);
  return isEnd || restBytes <= PADDING_BYTES ? 0 : restBytes;
}

/** Bytes of a body that are known to follow; 0 within a head, and for a body in chunks. */
function bodyBytesLeftOf(holder: Holder | undefined): number {
  return holder?.latestRequest?.complete === false ? Math.max(0, -holder.balanceBytes) : 0;
}

/** Name under which the parser of Node.js keeps the fields of a head that has not ended. */
const PARSED_FIELDS = '_headers';

/**
 * Drops the fields of a head that has not ended. Node.js keeps them until the connection is reported as
 * closed, which is only after all other connections with input were read.
 */
function dropParsedFields(
  socket: Socket & { parser?: { [PARSED_FIELDS]?: readonly unknown[] } | null },
): void {
  if (socket.parser?.[PARSED_FIELDS] !== undefined) {
    socket.parser[PARSED_FIELDS] = [];
  }
}

/**
 * Creates the memory of requests in progress with a limit on all connections together. Bodies have a
 * limit of their own. When it is full, the connection that holds the most is closed: requests that
 * are sent ahead, or made of very many fields, must not displace those of ordinary clients. When all
 * connections hold little, further requests are rejected. An order goes on after its connection was
 * closed, and holds its memory until its end.
 *
 * @param onAllocation called with the size of input and of requests, as they are read
 */
export function createConnectionMemory(
  maxBytes: number,
  onAllocation: (sizeBytes: number) => void = () => undefined,
): ConnectionMemory {
  const holders = new Map<Socket, Holder>();
  const rejected = new WeakSet<IncomingMessage>();
  const heldRequests = new WeakMap<IncomingMessage, HeldRequest>();
  let heldBytes = 0;

  function hold(holder: Holder, changeBytes: number): void {
    holder.heldBytes += changeBytes;
    heldBytes += changeBytes;
  }

  function releaseRequest(request: HeldRequest): void {
    if (request.isClosed && !request.isHandled) {
      heldBytes -= request.memoryBytes;
    }
  }

  /** The response has ended: only the handler may still hold the request. */
  function closeRequest(holder: Holder, request: HeldRequest): void {
    if (holder.requests.delete(request)) {
      holder.heldBytes -= request.memoryBytes;
      request.isClosed = true;
      releaseRequest(request);
    }
  }

  function closeHolder(socket: Socket): void {
    const holder = holders.get(socket);
    if (holder !== undefined) {
      holders.delete(socket);
      holder.requests.forEach((request) => closeRequest(holder, request));
      hold(holder, -holder.heldBytes);
    }
  }

  function findLargest(): Socket | undefined {
    let largest: Socket | undefined;
    let largestBytes = SPARED_BYTES;
    holders.forEach((holder, socket) => {
      if (holder.heldBytes > largestBytes) {
        largest = socket;
        largestBytes = holder.heldBytes;
      }
    });
    return largest;
  }

  /** Closes connections until the limit holds; false if all that are left hold little. */
  function makeRoom(): boolean {
    while (heldBytes > maxBytes) {
      const largest = findLargest();
      if (largest === undefined) {
        return false;
      }
      const holder = holders.get(largest);
      closeHolder(largest);
      holder?.close();
    }
    return true;
  }

  function holdHeadBytes(holder: Holder, headBytes: number): void {
    hold(holder, (headBytes - holder.headBytes) * HEAD_EXPANSION);
    holder.headBytes = headBytes;
  }

  function recordInput(socket: Socket, chunk: Buffer): void {
    onAllocation(chunk.length);
    const holder = holders.get(socket);
    if (holder === undefined) {
      return;
    }
    holder.balanceBytes += chunk.length;
    const isInBody = holder.latestRequest?.complete === false;
    holdHeadBytes(holder, findHeadBytes(holder, chunk));
    if (!isInBody) {
      holder.balanceBytes = holder.headBytes;
    }
    holder.hasParsed = isInBody;
    makeRoom();
  }

  function recordRequest(holder: Holder, request: IncomingMessage): HeldRequest {
    const { memoryBytes, wireBytes } = describeHead(request);
    onAllocation(memoryBytes);
    const bodyBytes = Number(request.headers['content-length'] ?? 0);
    holder.balanceBytes -= wireBytes + bodyBytes;
    holder.hasParsed = true;
    holder.latestRequest = request;
    holdHeadBytes(holder, 0);
    hold(holder, memoryBytes);
    const held = { memoryBytes, isClosed: false, isHandled: false };
    holder.requests.add(held);
    heldRequests.set(request, held);
    return held;
  }

  return {
    apply(server, countsInput, onClose) {
      server.on('connection', (socket) => {
        holders.set(socket, {
          heldBytes: 0,
          requests: new Set(),
          headBytes: 0,
          balanceBytes: 0,
          latestRequest: undefined,
          hasParsed: false,
          hasFailed: false,
          close() {
            onClose();
            socket.destroy();
            dropParsedFields(socket);
          },
        });
        socket.once('close', () => closeHolder(socket));
        // Behind the parser: what it has passed on counts as a request, and the rest of a read only
        // if it belongs to a head, for which the parser takes more memory than its bytes.
        if (countsInput) {
          parseByPieces(socket, {
            bodyBytesLeft: () => bodyBytesLeftOf(holders.get(socket)),
            hasFailed: () => holders.get(socket)?.hasFailed ?? false,
            onParsed: (piece) => recordInput(socket, piece),
          });
        }
      });
      server.prependListener('clientError', ({ code }: NodeJS.ErrnoException, stream) => {
        const holder = holders.get(stream as Socket);
        if (holder !== undefined && code?.startsWith(PARSE_ERROR_PREFIX) === true) {
          holder.hasFailed = true;
        }
      });
      server.prependListener('request', (request, response) => {
        const { socket } = request;
        const holder = holders.get(socket);
        if (holder === undefined) {
          return;
        }
        const held = recordRequest(holder, request);
        if (!makeRoom()) {
          rejected.add(request);
        }
        response.once('close', () => closeRequest(holder, held));
      });
    },
    holdWhile(request, handled) {
      const held = heldRequests.get(request);
      if (held !== undefined) {
        held.isHandled = true;
        const onHandled = (): void => {
          held.isHandled = false;
          releaseRequest(held);
        };
        handled.then(onHandled, onHandled);
      }
    },
    isExceededBy: (request) => rejected.has(request),
    heldBytes: () => heldBytes,
  };
}
