/**
 * Result of adding bytes to a body. `too-long`: the body exceeds its own limit; `no-memory`: the
 * bodies of the process together exceed theirs.
 */
export type AppendResult = 'kept' | 'too-long' | 'no-memory';

/** Bytes of one message body, or of a part of it, that arrives in chunks of any size. */
export interface BodyBuffer {
  /**
   * Adds a copy of the chunk: a kept chunk would hold its object, and often a whole read of the
   * socket. Any result but `kept` releases the body.
   */
  append(chunk: Buffer): AppendResult;
  sizeBytes(): number;
  /** The bytes that arrived; valid until the next call of another method. */
  bytes(): Buffer;
  /** Removes bytes from the start and returns a copy of them. */
  take(sizeBytes: number): Buffer;
  /** Returns the bytes of the complete body, which stays in memory until it is released. */
  complete(): Buffer;
  /** Gives up the memory. Further bytes are rejected with `no-memory`. */
  release(): void;
}

export interface BodyBufferOptions {
  /** Limit on this body. */
  readonly maxBytes: number;
  /**
   * Called when the incomplete body is released because the memory is needed for others. @default
   * nothing; the next `append` returns `no-memory`
   */
  readonly onEvicted?: () => void;
}

/** Opens buffers for bodies. */
export interface BodyBuffers {
  open(options: BodyBufferOptions): BodyBuffer;
}

/** Memory for the bodies that a process holds. */
export interface BodyMemory extends BodyBuffers {
  /** Memory of all bodies that have not been released. */
  heldBytes(): number;
  /** Whether large bodies may find no room: more than half of the memory is held. */
  isShort(): boolean;
}
