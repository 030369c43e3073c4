import type { StoredFleetDocument } from './FleetDocument.js';

/** Whether a document includes a change, as far back as its bounded history goes. */
export function containsChange(
  document: StoredFleetDocument | undefined,
  changeId: string,
): boolean {
  return (
    document !== undefined &&
    (document.changeId === changeId ||
      document.history.some((entry) => entry.changeId === changeId))
  );
}
