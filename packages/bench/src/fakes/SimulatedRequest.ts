/** Input of the fake engines for one request, and callbacks that record its attempts. */
export interface SimulatedRequest {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly blockHashes: readonly string[];
  readonly onAttempt: (serverId: string) => void;
  readonly onCacheLookup: (cachedTokens: number) => void;
  readonly onToken: (tokenIndex: number) => void;
}
