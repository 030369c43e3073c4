/** One attempt at a fake engine. */
export interface EngineJob {
  /** Lower values are served first. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly blockHashes: readonly string[];
  /** Called with the number of prompt tokens that were found in the prefix cache. */
  readonly onCacheLookup: (cachedTokens: number) => void;
  readonly onToken: (tokenIndex: number) => void;
  readonly onDone: () => void;
  /** Called when the engine stops while the job is waiting or running. */
  readonly onBroken: () => void;
}
