/** Blocks the process, as a long computation or a frozen machine does. */
export function blockFor(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs) {
    // The process does nothing else meanwhile.
  }
}
