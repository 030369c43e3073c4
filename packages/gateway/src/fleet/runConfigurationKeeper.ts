import { encodeWholeNumber } from '@camphorbarrow/core';
import type { Clock, HostId, LogSink, MetricsSink } from '@camphorbarrow/core';
import type { ConfigurationToKeep } from '../model/KeptConfiguration.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import type { MetadataStore } from '../ports/MetadataStore.js';
import { rankByRendezvous } from '../routing/rankByRendezvous.js';
import type { FleetView } from './createFleetView.js';

const ROUND_INTERVAL_MS = 250;
/** Delay of the first host by rank; of configurations in quick succession, the last is kept. */
const WRITE_DELAY_MS = 1_000;
/** Delay of the second host, if the first does not write. It doubles with each further one. */
const RANK_DELAY_MS = 2_000;
/** Older views may miss what another host has written. */
const MAX_VIEW_AGE_MS = 1_200;
/** Pause after a write, within which this host's view shows it, and after a failed one. */
const PAUSE_MS = 2_000;
const RANKING_KEY = 'configuration-keeper';

export interface ConfigurationKeeperOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly store: Pick<MetadataStore, 'put'>;
  readonly ownId: HostId;
  readonly view: Pick<FleetView, 'configurationToKeep' | 'confirmedAtMs'>;
  readonly peers: Pick<PeerRegistry, 'alive'>;
  /** Encodes the entry for the store. */
  readonly encode: (entry: ConfigurationToKeep) => { readonly key: string; readonly value: string };
  readonly signal: AbortSignal;
}

/**
 * Keeps the configuration in force in the store until the signal aborts, so that a fleet which starts
 * anew beside an entry of the operator that it cannot read has the one before.
 */
export async function runConfigurationKeeper(options: ConfigurationKeeperOptions): Promise<void> {
  const { clock, log, metrics, view, peers, ownId, signal } = options;
  let pending: string | undefined;
  let pendingSinceMs = 0;

  /** Whether the entry has not been kept for so long that it is this host's turn. */
  function isDue({ item, era }: ConfigurationToKeep): boolean {
    const nowMs = clock.monotonicMs();
    const id = `${era}@${item.modRevision}`;
    if (id !== pending) {
      pending = id;
      pendingSinceMs = nowMs;
    }
    const hosts = [ownId, ...peers.alive().map(({ heartbeat }) => heartbeat.host.id)];
    const rank = rankByRendezvous(RANKING_KEY, hosts).indexOf(ownId);
    return (
      nowMs - view.confirmedAtMs() <= MAX_VIEW_AGE_MS &&
      nowMs - pendingSinceMs >= WRITE_DELAY_MS + (2 ** rank - 1) * RANK_DELAY_MS
    );
  }

  while (!signal.aborted) {
    let pauseMs = ROUND_INTERVAL_MS;
    const entry = view.configurationToKeep();
    if (entry !== undefined && isDue(entry)) {
      pauseMs = PAUSE_MS;
      try {
        await options.store.put(options.encode(entry));
        metrics.increment('kept_configurations', { call: 'write' });
        log.info('configuration-kept', {
          revision: encodeWholeNumber(entry.item.modRevision),
        });
      } catch (error) {
        metrics.increment('kept_configurations', { call: 'failed' });
        log.warn('configuration-keeping-failed', { reason: (error as Error).name });
      }
    }
    await clock.sleep(pauseMs, signal).catch(() => undefined);
  }
}
