import type { ConfigRevision } from './ConfigRevision.js';

/**
 * Orders configurations by version, then by change id, so that every entry host prefers the same
 * one of two documents. Positive when `a` is newer; no configuration is older than any other.
 */
export function compareRevisions(
  a: ConfigRevision | undefined,
  b: ConfigRevision | undefined,
): number {
  const byVersion = (a?.version ?? 0) - (b?.version ?? 0);
  if (byVersion !== 0) {
    return byVersion;
  }
  const [idA, idB] = [a?.changeId ?? '', b?.changeId ?? ''];
  if (idA === idB) {
    return 0;
  }
  return idA > idB ? 1 : -1;
}
