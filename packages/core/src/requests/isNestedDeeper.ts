/** Whether a JSON value has more than `maxDepth` levels of lists and objects. */
export function isNestedDeeper(value: unknown, maxDepth: number): boolean {
  let level: unknown[] = [value];
  for (let depth = 0; level.length > 0; depth += 1) {
    if (depth > maxDepth) {
      return true;
    }
    level = level
      .filter((item) => typeof item === 'object' && item !== null)
      .flatMap((item) => Object.values(item as object) as unknown[]);
  }
  return false;
}
