/** Where an answer goes: a caller or a peer. All calls after the other end has left do nothing. */
export interface ResponseWriter {
  /** Aborts when the other end leaves before the answer is complete. */
  readonly disconnected: AbortSignal;
  isStarted(): boolean;
  /** @param headers names and values by turns, without framing */
  send(status: number, headers: readonly string[], body: Buffer): void;
  writeHead(status: number, headers: readonly string[]): void;
  /** Resolves when more may be written, so that a slow reader slows its server. */
  write(chunk: Buffer): Promise<void>;
  end(): void;
  /** Ends the connection, so that the answer does not look complete. */
  abort(): void;
}
