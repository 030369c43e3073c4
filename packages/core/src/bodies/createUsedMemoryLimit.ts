export interface UsedMemoryLimitOptions {
  /** Limit while the process takes no more outside of the used memory than was assumed. */
  readonly maxBytes: number;
  /** Memory that was assumed to be taken outside: by the files of the program and by its runtime. */
  readonly assumedBytes: number;
  /** Memory in use, together with what can be collected. */
  readonly usedBytes: () => number;
  /** Memory of the process as the system counts it; undefined while this cannot be read. */
  readonly residentBytes: () => number | undefined;
}

/**
 * Creates the limit on used memory of a process, which becomes lower when the program takes more
 * outside of it than was assumed: this differs between the versions and kinds of the runtime, and
 * grows as freed memory is cut into pieces. Used memory hardly ever returns to the system, so what
 * is resident beyond the most that was in use is outside.
 */
export function createUsedMemoryLimit({
  maxBytes,
  assumedBytes,
  usedBytes,
  residentBytes,
}: UsedMemoryLimitOptions): () => number {
  let mostUsedBytes = 0;
  let outsideBytes = 0;
  return () => {
    mostUsedBytes = Math.max(mostUsedBytes, usedBytes());
    const latestBytes = residentBytes();
    if (latestBytes !== undefined) {
      outsideBytes = latestBytes - mostUsedBytes;
    }
    return maxBytes - Math.max(0, outsideBytes - assumedBytes);
  };
}
