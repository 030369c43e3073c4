import type { BodyBuffer, BodyBuffers } from './BodyMemory.js';

/** Bodies that are released together. */
export interface BodyScope extends BodyBuffers {
  release(): void;
}

/** Creates a scope for the bodies of one request or call. */
export function createBodyScope(memory: BodyBuffers): BodyScope {
  const buffers = new Set<BodyBuffer>();
  return {
    open(options) {
      const buffer = memory.open(options);
      buffers.add(buffer);
      return buffer;
    },
    release() {
      buffers.forEach((buffer) => buffer.release());
      buffers.clear();
    },
  };
}

/** Runs a function with a scope, which is released when the function ends or throws. */
export async function withBodyScope<Result>(
  memory: BodyBuffers,
  run: (scope: BodyBuffers) => Promise<Result>,
): Promise<Result> {
  const scope = createBodyScope(memory);
  try {
    return await run(scope);
  } finally {
    scope.release();
  }
}
