/**
 * A running stand-in: a simulated backend server, platform service or network relay that a test
 * deployment uses in place of the real one.
 */
export interface StandIn {
  /** Base URL of the listening address and port. */
  readonly url: string;
  /** Closes all connections and releases the port. */
  close(): Promise<void>;
}
