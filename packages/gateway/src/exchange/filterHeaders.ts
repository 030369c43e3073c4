/**
 * Returns the headers whose names are kept. One pass without intermediate arrays, as every request and
 * response takes several.
 *
 * @param rawHeaders alternating names and values
 * @param keeps called with each name in lower case
 */
export function filterHeaders(
  rawHeaders: readonly string[],
  keeps: (name: string) => boolean,
): string[] {
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (keeps(name.toLowerCase())) {
      kept.push(name, rawHeaders[index + 1] ?? '');
    }
  }
  return kept;
}
