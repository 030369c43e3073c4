/** Behaviour of the engine stand-in. */
export interface EngineOptions {
  readonly serverId: string;
  readonly models: readonly string[];
  /** Requests decoded at the same time; further ones wait by priority. @default 8 */
  readonly maxConcurrentRequests?: number;
  /** Requests that may wait; further ones get 503. @default 64 */
  readonly maxWaitingRequests?: number;
  /** Prompt tokens read per second. @default 20000 */
  readonly prefillTokensPerSecond?: number;
  /** Time for one generated token. @default 10 */
  readonly tokenMs?: number;
  /** Prefix blocks kept, least recently used removed first. @default 512 */
  readonly cacheBlocks?: number;
  /** Age of the figures in a load report. @default 0 */
  readonly loadLagMs?: number;
  /** Every so many cache events one is lost and leaves a gap in the sequence. None when absent. */
  readonly cacheEventGapEvery?: number;
  /** File that keeps the records of `GET /executed`; memory only when absent. */
  readonly recordFile?: string;
}
