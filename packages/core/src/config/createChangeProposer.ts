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
 * Writes a change to the store and tells the peers.
 *
 * @throws ConfigChangeError when nothing was written
 */
export type ChangeProposer = (change: ConfigChange) => Promise<ConfigChangeResult>;

const RETRY_INTERVAL_MS = 250;
/** Time after which an unanswered write is reported as unknown. */
const RESOLVE_TIMEOUT_MS = 10_000;

/** Revision of the accepted change, or why there is none. */
type ChangeDecision = ConfigRevision | 'lost' | 'unknown';
/** Undefined when the next attempt may decide. */
type AttemptResult = ChangeDecision | undefined;

interface Attempts {
  next(): Promise<AttemptResult>;
  /** Whether a write was sent that the store did not answer. */
  mayBeWritten(): boolean;
}

/** Revision that a change made, when the document includes it. */
function revisionMadeBy(
  document: StoredFleetDocument | undefined,
  changeId: string,
): ConfigRevision | undefined {
  const entry = document?.history.find((candidate) => candidate.changeId === changeId);
  const version = entry?.version ?? (document?.changeId === changeId ? document.version : 0);
  return version > 0 ? { version, changeId } : undefined;
}

function winnerOf(document: StoredFleetDocument | undefined): WinningChange {
  const { version = 0, changeId = '', history = [] } = document ?? {};
  const { author } = history.find((entry) => entry.changeId === changeId) ?? {};
  return { version, changeId, author };
}

/** Whether a change can be applied again to a newer document without undoing anything in it. */
function isRepeatable({ operation, basedOnVersion }: ConfigChange): boolean {
  const isEdit = operation.kind === 'add-exception' || operation.kind === 'remove-exception';
  return isEdit && basedOnVersion === undefined;
}

/** Creates the function that carries out changes proposed at this entry host. */
export function createChangeProposer(options: ChangeProposerOptions): ChangeProposer {
  const { clock, log, store, state, exchange } = options;

  async function readStore(): Promise<KeyValue | undefined> {
    const found = await store.get(CONFIGURATION_KEY);
    const { document, revision } = parseStoredDocument(found?.value);
    if (document !== undefined) {
      state.adopt(document);
    } else if (compareRevisions(revision, state.document()) > 0) {
      throw new UnreadableConfigurationError(
        `The store holds configuration version ${revision?.version}, which this version of the ` +
          'program cannot read. Use an entry host with a newer version.',
      );
    }
    return found;
  }

  /** Creates the attempts of one proposal, with what is known of its writes so far. */
  function createAttempts(change: ConfigChange): Attempts {
    const changedAtMs = clock.nowMs();
    let { basedOnVersion } = change;
    /** Store revision that an unanswered write replaces if it takes effect. */
    let unansweredAt: StoreRevision | undefined;

    function requireKnownBase(currentVersion: number): void {
      if (basedOnVersion !== undefined && basedOnVersion > currentVersion) {
        throw new InvalidChangeError(
          `The change is based on version ${basedOnVersion}, but this entry host knows only ` +
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
          // After the store lost data, another change may have taken the same or a higher version.
          return revisionMadeBy(state.document(), change.changeId) ?? 'lost';
        }
      } catch (cause) {
        if (!(cause instanceof StoreUnavailableError)) {
          throw cause;
        }
        unansweredAt = expectedRevision;
      }
      return undefined;
    }

    async function attempt(): Promise<AttemptResult> {
      // A second read covers a connection that went silent; the first one made the store's client
      // discard it.
      const found = await readStore().catch((cause: unknown) => {
        if (cause instanceof StoreUnavailableError) {
          return readStore();
        }
        throw cause;
      });
      const accepted = revisionMadeBy(state.document(), change.changeId);
      if (accepted !== undefined) {
        return accepted;
      }
      const revision = found?.modRevision ?? 0;
      if (unansweredAt !== undefined && revision < unansweredAt) {
        // The store was restored, so another host may have seen the write before it was undone.
        return 'unknown';
      }
      const currentVersion = state.document()?.version ?? 0;
      requireKnownBase(currentVersion);
      if (basedOnVersion === undefined || isRepeatable(change)) {
        basedOnVersion = currentVersion;
      }
      return currentVersion > basedOnVersion ? 'lost' : write(revision);
    }

    return {
      mayBeWritten: () => unansweredAt !== undefined,
      async next() {
        try {
          return await attempt();
        } catch (cause) {
          if (unansweredAt !== undefined) {
            // Something may have been written, so no error may claim the contrary.
            return undefined;
          }
          throw cause instanceof StoreUnavailableError
            ? new ConfigStoreUnavailableError(
                'The key-value service did not answer; the change was not made.',
              )
            : cause;
        }
      },
    };
  }

  async function decide(change: ConfigChange): Promise<ChangeDecision> {
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
    const result = await decide(change);
    const document = state.document();
    const outcome = typeof result === 'object' ? 'accepted' : result;
    log.info('configuration-change', {
      changeId: change.changeId,
      author: change.author,
      outcome,
    });
    if (document !== undefined && typeof result === 'object') {
      return { outcome: 'accepted', revision: result, ...(await exchange.broadcast(document)) };
    }
    return result === 'lost'
      ? { outcome: 'lost', against: winnerOf(document) }
      : { outcome: 'unknown', changeId: change.changeId };
  };
}
