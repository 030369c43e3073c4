import type { LogSink } from '../ports/LogSink.js';
import type { ConfigRevision } from './ConfigRevision.js';
import type { FleetDocument, StoredFleetDocument } from './FleetDocument.js';
import { compareRevisions } from './compareRevisions.js';
import { containsChange } from './containsChange.js';
import { createFleetDocument } from './createFleetDocument.js';

export interface ConfigState {
  current(): FleetDocument | undefined;
  /** Document in force, as stored; undefined when there is none. */
  document(): StoredFleetDocument | undefined;
  /** Takes a document over when it is newer than the one in force. */
  adopt(document: StoredFleetDocument): boolean;
}

function revisionOf({ version, changeId }: StoredFleetDocument): ConfigRevision {
  return { version, changeId };
}

/**
 * Whether `next` was made without knowledge of `previous`. Possible only when a change was made
 * after the store lost newer data, by a host that did not know that data either.
 */
function hasDiverged(next: StoredFleetDocument, previous: StoredFleetDocument): boolean {
  const oldestVersion = next.history[0]?.version ?? next.version;
  return oldestVersion <= previous.version && !containsChange(next, previous.changeId);
}

/** Creates the holder of the document in force, which only ever moves to a newer revision. */
export function createConfigState(log: LogSink): ConfigState {
  let inForce: FleetDocument | undefined;
  let stored: StoredFleetDocument | undefined;

  return {
    current: () => inForce,
    document: () => stored,
    adopt(document) {
      if (compareRevisions(document, stored) <= 0) {
        return false;
      }
      if (stored !== undefined && hasDiverged(document, stored)) {
        log.error('configuration-diverged', {
          ...revisionOf(document),
          replacedVersion: stored.version,
          replacedChangeId: stored.changeId,
        });
      }
      inForce = createFleetDocument(document);
      stored = document;
      log.info('configuration-adopted', { ...revisionOf(document) });
      return true;
    },
  };
}
