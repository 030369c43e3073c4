/** What fake servers need of a request, and what they report back. */
export interface SimulatedRequest {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly blockHashes: readonly string[];
  readonly onAttempt: (serverId: string) => void;
  readonly onCacheLookup: (cachedTokens: number) => void;
  readonly onToken: (tokenIndex: number) => void;
}
