/** Share of the limit that is allocated between two checks. */
const CHECK_RATIO = 0.05;

export interface GarbageLimitOptions {
  /** Limit on the memory in use, together with what can be collected; it may change. */
  readonly maxBytes: () => number;
  /** Memory in use, together with what can be collected. */
  readonly usedBytes: () => number;
  /** Collects garbage: what was allocated recently, or all of it, which takes longer. */
  readonly collect: (scope: 'recent' | 'all') => void;
}

export interface GarbageLimit {
  /** Accounts for memory that was allocated since the last call. */
  recordAllocation(sizeBytes: number): void;
}

/**
 * Creates a limit on memory that is no longer in use. The engine collects the buffers of input only
 * when there are tens of megabytes of them, whatever memory the machine has. What is in use has
 * limits of its own: when it exceeds this one by itself, collections become rare.
 */
export function createGarbageLimit({
  maxBytes,
  usedBytes,
  collect,
}: GarbageLimitOptions): GarbageLimit {
  const stepBytes = maxBytes() * CHECK_RATIO;
  let uncheckedBytes = 0;
  /** What was left in use by the last collection, and room for another step. */
  let rareBytes = 0;

  return {
    recordAllocation(sizeBytes) {
      uncheckedBytes += sizeBytes;
      if (uncheckedBytes < stepBytes) {
        return;
      }
      uncheckedBytes = 0;
      const thresholdBytes = Math.max(maxBytes(), rareBytes);
      if (usedBytes() <= thresholdBytes) {
        return;
      }
      collect('recent');
      if (usedBytes() > thresholdBytes) {
        collect('all');
      }
      rareBytes = usedBytes() + stepBytes;
    },
  };
}
