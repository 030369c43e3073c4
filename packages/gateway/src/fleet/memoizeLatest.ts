/**
 * Creates a function that derives a value from the latest source. The value is computed again only when
 * the source is another object, so the source must not be changed in place.
 */
export function memoizeLatest<Source extends object, Value>(
  source: () => Source,
  derive: (source: Source) => Value,
): () => Value {
  let latest: { readonly source: Source; readonly value: Value } | undefined;
  return () => {
    const current = source();
    if (latest?.source !== current) {
      latest = { source: current, value: derive(current) };
    }
    return latest.value;
  };
}
