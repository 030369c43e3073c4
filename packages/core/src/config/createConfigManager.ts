import { NoConfigurationError } from '../errors/NoConfigurationError.js';
import type { PeerDescription } from '../membership/PeerDescription.js';
import type { PeerView } from '../membership/PeerView.js';
import type { Clock } from '../ports/Clock.js';
import type { KeyValueStore } from '../ports/KeyValueStore.js';
import type { LogSink } from '../ports/LogSink.js';
import type { PeerClient } from '../ports/PeerClient.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { ConfigRevision } from './ConfigRevision.js';
import type { FleetDocument, StoredFleetDocument } from './FleetDocument.js';
import { createChangeProposer } from './createChangeProposer.js';
import type { ChangeProposer } from './createChangeProposer.js';
import { createConfigExchange } from './createConfigExchange.js';
import { createConfigState } from './createConfigState.js';
import { createConfigStoreSync } from './createConfigStoreSync.js';

export interface ConfigManagerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly store: KeyValueStore;
  readonly peerClient: Pick<PeerClient, 'fetchConfig' | 'pushConfig'>;
  /** Peer URLs asked while no peer is known. */
  readonly seedPeerUrls: readonly string[];
  /** Peers that changes are told to; called only after `start` or by a proposal. */
  readonly listPeers: () => readonly PeerView[];
}

export interface ConfigManager {
  /** @throws NoConfigurationError when no document has arrived yet */
  current(): FleetDocument;
  /** Document in force, as stored; undefined when there is none. */
  document(): StoredFleetDocument | undefined;
  /** Version in force, 0 when there is none. */
  version(): number;
  /** Revision in force; version 0 and an empty change id when there is none. */
  revision(): ConfigRevision;
  /** Takes a document over when it is newer than the one in force. */
  adopt(document: StoredFleetDocument): boolean;
  /** Fetches a peer's configuration when its heartbeat names a newer one. */
  fetchIfNewer(peer: PeerDescription): Promise<void>;
  readonly propose: ChangeProposer;
  /** Whether the last call to the store was answered. */
  storeReachable(): boolean;
  /** Compares the store with the document in force once. */
  poll(): Promise<void>;
  /** Starts following the store in the background. */
  start(): void;
  close(): Promise<void>;
}

/** Creates the keeper of the fleet configuration, which only ever moves to a newer revision. */
export function createConfigManager(options: ConfigManagerOptions): ConfigManager {
  const { clock, log, store } = options;
  const state = createConfigState(log);
  const exchange = createConfigExchange({ ...options, state });
  const hostCount = (): number => options.listPeers().length + 1;
  const follower = createConfigStoreSync({ ...options, state, hostCount });

  return {
    current() {
      const document = state.current();
      if (document === undefined) {
        throw new NoConfigurationError('This entry host has no fleet configuration yet.');
      }
      return document;
    },
    document: state.document,
    version: () => state.document()?.version ?? 0,
    revision() {
      const { version = 0, changeId = '' } = state.document() ?? {};
      return { version, changeId };
    },
    adopt: state.adopt,
    fetchIfNewer: exchange.fetchIfNewer,
    propose: createChangeProposer({ clock, log, store, state, exchange }),
    storeReachable: follower.storeReachable,
    poll: follower.poll,
    start: follower.start,
    close: follower.close,
  };
}
