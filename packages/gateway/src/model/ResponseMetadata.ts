import type { ServerLoad } from './ServerLoad.js';

/** What the headers of a backend server's answer say of it. */
export interface ResponseMetadata {
  readonly attemptId: string | undefined;
  /** Id of the server, where it tells it. */
  readonly serverId: string | undefined;
  /** Whether the answer bears a server's proof of origin. */
  readonly sealed: boolean;
  /** Whether the server states that it has not run the request. */
  readonly notRun: boolean;
  /** Whether the body is in a transfer form that no caller asked for. */
  readonly encoded: boolean;
  readonly load: ServerLoad | undefined;
}
