/** Options of the engine stand-in. */
export interface EngineOptions {
  readonly serverId: string;
  readonly models: readonly string[];
  /** Requests processed at the same time; further ones wait in order of priority. @default 8 */
  readonly maxConcurrentRequests?: number;
  /** Requests that may wait; further ones get status 503. @default 64 */
  readonly maxWaitingRequests?: number;
  /** Prompt tokens prefilled per second. @default 20000 */
  readonly prefillTokensPerSecond?: number;
  /** Time to generate one token. @default 10 */
  readonly tokenMs?: number;
  /** Size of the prefix cache in blocks; the least recently used are evicted. @default 512 */
  readonly cacheBlocks?: number;
  /** Age of the values in a load report. @default 0 */
  readonly loadLagMs?: number;
  /** One in this many cache events is dropped and leaves a sequence gap. None when absent. */
  readonly cacheEventGapEvery?: number;
  /** File for the records of `GET /executed`; when absent, they are kept only in memory. */
  readonly recordFile?: string;
}
