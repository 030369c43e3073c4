/** Change of an engine's prefix cache. Events may arrive late and with gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  /** Hash of the prompt prefix block, empty for `cleared`. */
  readonly blockHash: string;
}
