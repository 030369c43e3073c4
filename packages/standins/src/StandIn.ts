/** A stand-in that is listening. */
export interface StandIn {
  /** Base URL with the bound address and port. */
  readonly url: string;
  /** Closes all connections and releases the port. */
  close(): Promise<void>;
}
