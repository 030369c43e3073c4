/** Writes a response to the client: a caller or a peer. Calls after a disconnect do nothing. */
export interface ResponseWriter {
  /** Aborts when the client disconnects before the response is complete. */
  readonly disconnected: AbortSignal;
  /** Whether the response head was sent. */
  isStarted(): boolean;
  /**
   * Sends a complete response.
   *
   * @param headers alternating names and values, without `Content-Length` and transfer encoding
   */
  send(status: number, headers: readonly string[], body: Buffer): void;
  /** Must be followed by a write or the end at once, with which the head is sent. */
  writeHead(status: number, headers: readonly string[]): void;
  /**
   * Applies the backpressure of a slow client to the server: returns a promise that resolves when more
   * may be written, or when the signal aborts; undefined if more may be written at once.
   */
  write(chunk: Buffer, signal: AbortSignal): Promise<void> | undefined;
  end(): void;
  /** Closes the connection, so that the client sees the response as incomplete. */
  abort(): void;
}
