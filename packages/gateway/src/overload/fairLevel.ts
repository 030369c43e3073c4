/**
 * Returns the largest rate that each of several parties may have if together they get `capacity`:
 * the max-min fair level. Parties that ask for less get what they ask for.
 *
 * @returns Infinity if the capacity suffices for all
 */
export function fairLevel(demands: readonly number[], capacity: number): number {
  const ascending = [...demands].sort((a, b) => a - b);
  let rest = capacity;
  for (const [index, demand] of ascending.entries()) {
    const level = rest / (ascending.length - index);
    if (demand > level) {
      return level;
    }
    rest -= demand;
  }
  return Infinity;
}
