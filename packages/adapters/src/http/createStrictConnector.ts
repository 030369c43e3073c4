import { buildConnector } from 'undici';
import { resetOnAbort } from './resetOnAbort.js';

/** Code of errors of a connection that is not usable any more. */
const SOCKET_ERROR_CODE = 'UND_ERR_SOCKET';

/**
 * Creates a function that opens connections on which a reset is always an error. By its code, undici
 * would take the reset for the end of a response without length and chunks, which would then look
 * complete (`onHttpSocketError`). The connection of an aborted request is reset.
 *
 * @param connectTimeoutMs time limit for establishing a connection
 */
export function createStrictConnector(connectTimeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: connectTimeoutMs });
  return (options, callback) =>
    connect(options, (...[error, socket]: buildConnector.CallbackArgs) => {
      if (error !== null) {
        callback(error, null);
        return;
      }
      // Runs before the listener that undici adds next.
      socket.on('error', (socketError: NodeJS.ErrnoException) => {
        if (socketError.code === 'ECONNRESET') {
          Object.assign(socketError, { code: SOCKET_ERROR_CODE });
        }
      });
      resetOnAbort(socket);
      callback(null, socket);
    });
}
