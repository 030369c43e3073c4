import type { Socket } from 'node:net';
import type { ServerState } from '../model/ServerState.js';

export interface ReportOptions {
  /** Time until the call fails. */
  readonly timeoutMs: number;
  /** Called with the connection, before the server gets the call. */
  readonly onConnection: (socket: Socket) => void;
}

/** What backend servers tell about themselves when they are asked. */
export interface ServerReports {
  /**
   * Asks a server for the start of its process, in ms since the Unix epoch. Resolves with undefined if
   * the server does not tell.
   *
   * @throws InvalidMessageError if there is no response, or one that is not as expected
   */
  readStartTime(server: ServerState, options: ReportOptions): Promise<number | undefined>;
}
