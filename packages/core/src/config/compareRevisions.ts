import type { ConfigRevision } from './ConfigRevision.js';

/**
 * Orders revisions by version, then by change id, so that all entry hosts choose the same one of
 * two documents. Positive when `a` is newer; `undefined` (no configuration) is older than any
 * revision.
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
