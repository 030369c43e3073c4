import type { LogSink } from '../ports/LogSink.js';
import type { ConfigRevision } from './ConfigRevision.js';
import type { FleetDocument, StoredFleetDocument } from './FleetDocument.js';
import { compareRevisions } from './compareRevisions.js';
import { containsChange } from './containsChange.js';
import { createFleetDocument } from './createFleetDocument.js';

export interface ConfigState {
  /** Current document; undefined when there is none. */
  current(): FleetDocument | undefined;
  /** Current document in its stored form; undefined when there is none. */
  document(): StoredFleetDocument | undefined;
  /** Replaces the current document when the given one is newer; returns whether it did. */
  adopt(document: StoredFleetDocument): boolean;
}

function revisionOf({ version, changeId }: StoredFleetDocument): ConfigRevision {
  return { version, changeId };
}

/**
 * Whether `next` was created without knowledge of `previous`. This happens only when the store lost
 * newer data and a host that did not have that data either then made a change.
 */
function hasDiverged(next: StoredFleetDocument, previous: StoredFleetDocument): boolean {
  const oldestVersion = next.history[0]?.version ?? next.version;
  return oldestVersion <= previous.version && !containsChange(next, previous.changeId);
}

/**
 * Creates the state that holds the current document, which is only replaced by a newer revision.
 */
export function createConfigState(log: LogSink): ConfigState {
  let current: FleetDocument | undefined;
  let currentStored: StoredFleetDocument | undefined;

  return {
    current: () => current,
    document: () => currentStored,
    adopt(document) {
      if (compareRevisions(document, currentStored) <= 0) {
        return false;
      }
      if (currentStored !== undefined && hasDiverged(document, currentStored)) {
        log.error('configuration-diverged', {
          ...revisionOf(document),
          replacedVersion: currentStored.version,
          replacedChangeId: currentStored.changeId,
        });
      }
      current = createFleetDocument(document);
      currentStored = document;
      log.info('configuration-adopted', { ...revisionOf(document) });
      return true;
    },
  };
}
