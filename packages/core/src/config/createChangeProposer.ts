import { ConfigStoreUnavailableError } from '../errors/ConfigStoreUnavailableError.js';
import { InvalidChangeError } from '../errors/InvalidChangeError.js';
import { StoreUnavailableError } from '../errors/StoreUnavailableError.js';
import { UnreadableConfigurationError } from '../errors/UnreadableConfigurationError.js';
import type { Clock } from '../ports/Clock.js';
import type { KeyValue, KeyValueStore, StoreRevision } from '../ports/KeyValueStore.js';
import type { LogSink } from '../ports/LogSink.js';
import type { ConfigChange } from './ConfigChange.js';
import type { ConfigChangeResult, WinningChange } from './ConfigChangeResult.js';
import type { ConfigRevision } from './ConfigRevision.js';
import type { StoredFleetDocument } from './FleetDocument.js';
import { applyChange } from './applyChange.js';
import { compareRevisions } from './compareRevisions.js';
import { CONFIGURATION_KEY } from './configurationKey.js';
import type { ConfigExchange } from './createConfigExchange.js';
import type { ConfigState } from './createConfigState.js';
import { encodeDocument } from './encodeDocument.js';
import { parseStoredDocument } from './parseStoredDocument.js';

export interface ChangeProposerOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly store: KeyValueStore;
  readonly state: ConfigState;
  readonly exchange: ConfigExchange;
}

/**
 * Writes a change to the store and broadcasts the new document to the peers.
 *
 * @throws ConfigChangeError when nothing was written
 */
export type ChangeProposer = (change: ConfigChange) => Promise<ConfigChangeResult>;

const RETRY_INTERVAL_MS = 250;
/** Time after which a write without a response is reported as unknown. */
const RESOLVE_TIMEOUT_MS = 10_000;

/** Revision of the accepted change, or the reason why there is none. */
type ChangeDecision = ConfigRevision | 'lost' | 'unknown';
/** Undefined when the attempt was inconclusive and another one is needed. */
type AttemptResult = ChangeDecision | undefined;

interface Attempts {
  next(): Promise<AttemptResult>;
  /** Whether a write was sent for which the store returned no response. */
  mayBeWritten(): boolean;
}

/** Revision created by a change; undefined when the document does not include the change. */
function revisionOfChange(
  document: StoredFleetDocument | undefined,
  changeId: string,
): ConfigRevision | undefined {
  const entry = document?.history.find((candidate) => candidate.changeId === changeId);
  const version = entry?.version ?? (document?.changeId === changeId ? document.version : 0);
  return version > 0 ? { version, changeId } : undefined;
}

function lastChangeOf(document: StoredFleetDocument | undefined): WinningChange {
  const { version = 0, changeId = '', history = [] } = document ?? {};
  const { author } = history.find((entry) => entry.changeId === changeId) ?? {};
  return { version, changeId, author };
}

/** Whether a change can be applied to a newer document without reverting other changes in it. */
function canRebase({ operation, basedOnVersion }: ConfigChange): boolean {
  const isIncremental = operation.kind === 'add-exception' || operation.kind === 'remove-exception';
  return isIncremental && basedOnVersion === undefined;
}

/** Creates the function that applies the changes proposed at this entry host. */
export function createChangeProposer(options: ChangeProposerOptions): ChangeProposer {
  const { clock, log, store, state, exchange } = options;

  async function readStore(): Promise<KeyValue | undefined> {
    const keyValue = await store.get(CONFIGURATION_KEY);
    const { document, revision } = parseStoredDocument(keyValue?.value);
    if (document !== undefined) {
      state.adopt(document);
    } else if (compareRevisions(revision, state.document()) > 0) {
      throw new UnreadableConfigurationError(
        `The store holds configuration version ${revision?.version}, which this version of the ` +
          'program cannot read. Use an entry host with a newer version.',
      );
    }
    return keyValue;
  }

  /** Creates the attempts of one proposal, which share the state of its writes. */
  function createAttempts(change: ConfigChange): Attempts {
    const changedAtMs = clock.nowMs();
    let { basedOnVersion } = change;
    /** Store revision that a write without a response replaces if it takes effect. */
    let unansweredWriteRevision: StoreRevision | undefined;

    function requireKnownBase(currentVersion: number): void {
      if (basedOnVersion !== undefined && basedOnVersion > currentVersion) {
        throw new InvalidChangeError(
          `The change is based on version ${basedOnVersion}, but this entry host has only ` +
            `version ${currentVersion}. Use another entry host or try again later.`,
        );
      }
    }

    async function write(expectedRevision: StoreRevision): Promise<AttemptResult> {
      const document = applyChange(state.document(), change, changedAtMs);
      const value = encodeDocument(document);
      try {
        const result = await store.compareAndSwap({
          key: CONFIGURATION_KEY,
          expectedRevision,
          value,
        });
        if (result.swapped) {
          state.adopt(document);
          // If the store lost data, another change may already have the same or a higher version.
          return revisionOfChange(state.document(), change.changeId) ?? 'lost';
        }
      } catch (cause) {
        if (!(cause instanceof StoreUnavailableError)) {
          throw cause;
        }
        unansweredWriteRevision = expectedRevision;
      }
      return undefined;
    }

    async function attempt(): Promise<AttemptResult> {
      // Retries a failed read once: if the connection had stalled, the failure made the store
      // client discard it.
      const keyValue = await readStore().catch((cause: unknown) => {
        if (cause instanceof StoreUnavailableError) {
          return readStore();
        }
        throw cause;
      });
      const accepted = revisionOfChange(state.document(), change.changeId);
      if (accepted !== undefined) {
        return accepted;
      }
      const revision = keyValue?.modRevision ?? 0;
      if (unansweredWriteRevision !== undefined && revision < unansweredWriteRevision) {
        // The store was restored from a backup; another host may have read the write before it was
        // lost.
        return 'unknown';
      }
      const currentVersion = state.document()?.version ?? 0;
      requireKnownBase(currentVersion);
      if (basedOnVersion === undefined || canRebase(change)) {
        basedOnVersion = currentVersion;
      }
      return currentVersion > basedOnVersion ? 'lost' : write(revision);
    }

    return {
      mayBeWritten: () => unansweredWriteRevision !== undefined,
      async next() {
        try {
          return await attempt();
        } catch (cause) {
          if (unansweredWriteRevision !== undefined) {
            // The write may have taken effect, so an error must not report that nothing was
            // written.
            return undefined;
          }
          throw cause instanceof StoreUnavailableError
            ? new ConfigStoreUnavailableError(
                'The key-value service did not respond; the change was not made.',
              )
            : cause;
        }
      },
    };
  }

  async function applyWithRetries(change: ConfigChange): Promise<ChangeDecision> {
    const attempts = createAttempts(change);
    const endMs = clock.monotonicMs() + RESOLVE_TIMEOUT_MS;
    while (clock.monotonicMs() < endMs) {
      const result = await attempts.next();
      if (result !== undefined) {
        return result;
      }
      await clock.sleep(RETRY_INTERVAL_MS);
    }
    return attempts.mayBeWritten() ? 'unknown' : 'lost';
  }

  return async (change) => {
    await exchange.refresh();
    const decision = await applyWithRetries(change);
    const document = state.document();
    const outcome = typeof decision === 'object' ? 'accepted' : decision;
    log.info('configuration-change', {
      changeId: change.changeId,
      author: change.author,
      outcome,
    });
    if (document !== undefined && typeof decision === 'object') {
      return { outcome: 'accepted', revision: decision, ...(await exchange.broadcast(document)) };
    }
    return decision === 'lost'
      ? { outcome: 'lost', against: lastChangeOf(document) }
      : { outcome: 'unknown', changeId: change.changeId };
  };
}
