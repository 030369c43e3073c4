/** One attempt at a fake engine. */
export interface EngineJob {
  /** Lower values first. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly blockHashes: readonly string[];
  /** Called for the prompt tokens found in the prefix cache. */
  readonly onCacheLookup: (cachedTokens: number) => void;
  readonly onToken: (tokenIndex: number) => void;
  readonly onDone: () => void;
  /** The engine stopped while the job was waiting or running. */
  readonly onBroken: () => void;
}
