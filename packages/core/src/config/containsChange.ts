import type { StoredFleetDocument } from './FleetDocument.js';

/** Whether a document includes a change. Changes older than its bounded history are not found. */
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
