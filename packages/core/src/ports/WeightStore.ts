/** The platform's rate-limited store of model weights. */
export interface WeightStore {
  /**
   * Requests permission for one download of the weights. Resolves to 0 when it may start, or to the
   * time in milliseconds after which to retry. Rejects with `PlatformError` when the store is down.
   */
  reserveDownload(weights: string): Promise<number>;
  close(): Promise<void>;
}
