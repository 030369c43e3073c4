import type { Socket } from 'node:net';

/** Message of the error with which undici closes the connection of a request that is aborted. */
const ABORTED = 'aborted';

/**
 * Has a connection of undici reset when its request is aborted. After an orderly close, the kernel
 * would send the bytes that the other end has not acknowledged again, and deliver the request when a
 * link that is cut comes back.
 */
export function resetOnAbort(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (error) => {
    socket.destroy = destroy;
    // A connection with TLS can't be reset.
    const isReset = error?.message === ABORTED && !socket.destroyed && !('encrypted' in socket);
    if (!isReset) {
      return destroy(error);
    }
    // A reset has no error, and without one undici takes the response for complete.
    socket.emit('error', error);
    return socket.resetAndDestroy();
  };
}
