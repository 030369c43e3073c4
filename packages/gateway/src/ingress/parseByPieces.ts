import type { Socket } from 'node:net';

/** Sizes of pieces outside of bodies of a known length. Shorter ones would let blank lines cost much time. */
const MIN_PIECE_BYTES = 64;
const MAX_PIECE_BYTES = 4_096;
const HEAD_END = '\r\n\r\n';

export interface InputPieces {
  /** Bytes that are known to be left of the body that is being read; 0 within a head. */
  bodyBytesLeft(): number;
  /** Whether the parser has found malformed input; it would report an error for each further piece. */
  hasFailed(): boolean;
  /** Called when the parser has read a piece. */
  onParsed(piece: Buffer): void;
}

/** Finds where a piece ends: behind a head, or the known rest of a body. */
function findPieceEnd(input: Buffer, bodyBytesLeft: number): number {
  if (bodyBytesLeft > 0) {
    return bodyBytesLeft;
  }
  const headEnd = input
    .subarray(0, MAX_PIECE_BYTES)
    .indexOf(HEAD_END, MIN_PIECE_BYTES - HEAD_END.length);
  return headEnd === -1 ? MAX_PIECE_BYTES : headEnd + HEAD_END.length;
}

/**
 * Has the HTTP parser of a connection read its input in pieces of about one request. It reads
 * a whole buffer otherwise: hundreds of requests, also when the connection is closed at one of them,
 * and all of them stay in memory until the connections with input have been read.
 */
export function parseByPieces(
  socket: Socket,
  { bodyBytesLeft, hasFailed, onParsed }: InputPieces,
): void {
  // The listener of the HTTP server is the only one on a new connection.
  const parse = socket.listeners('data')[0] as (this: Socket, input: Buffer) => void;

  function read(input: Buffer): void {
    let rest = input;
    while (rest.length > 0) {
      if (socket.isPaused()) {
        // The parser is paused, too, until responses have been taken.
        socket.unshift(rest);
        return;
      }
      const piece = rest.subarray(0, findPieceEnd(rest, bodyBytesLeft()));
      rest = rest.subarray(piece.length);
      parse.call(socket, piece);
      onParsed(piece);
      // Further input is dropped once the connection is closed, or another listener reads it.
      if (
        rest.length > 0 &&
        (socket.destroyed || hasFailed() || !socket.listeners('data').includes(read))
      ) {
        return;
      }
    }
  }

  socket.off('data', parse);
  socket.on('data', read);
}
