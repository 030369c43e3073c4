import type { HostId } from '@camphorbarrow/core';
import { keepRunning } from '../errors/keepRunning.js';
import { createCacheResponseRecorder } from '../exchange/createCacheResponseRecorder.js';
import type { GatewayContext } from '../exchange/GatewayContext.js';
import type { FleetView } from '../fleet/createFleetView.js';
import { runConfigurationKeeper } from '../fleet/runConfigurationKeeper.js';
import { runHostRegistration } from '../fleet/runHostRegistration.js';
import { runStoreFollower } from '../fleet/runStoreFollower.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { StoreUpdate } from '../model/StoreUpdate.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import { runPeerStoreFollower } from '../peers/runPeerStoreFollower.js';
import { runCacheFollower } from '../routing/runCacheFollower.js';
import { runVersionKeeper } from '../streams/runVersionKeeper.js';
import type { EntryHostOptions } from './EntryHostOptions.js';

const WATCH_WAIT_MS = 2_000;
/** Pause between watch calls, so that each returns more changes; every store call is charged. */
const WATCH_PAUSE_MS = 300;
const STORE_RETRY_MS = 250;
const HOST_LEASE_TTL_MS = 10_000;
const HOST_LEASE_RENEWAL_MS = 3_000;

export interface HostTasksOptions extends Pick<
  EntryHostOptions,
  | 'clock'
  | 'log'
  | 'metrics'
  | 'random'
  | 'store'
  | 'own'
  | 'registration'
  | 'encodeKeptConfiguration'
  | 'encodeKeptVersion'
  | 'createCacheFeed'
> {
  readonly context: GatewayContext;
  readonly view: FleetView;
  readonly peers: PeerRegistry;
  readonly fetchStoreUpdate: (peer: Endpoint) => Promise<StoreUpdate>;
  readonly syncFromPeer: () => Promise<boolean>;
  /** Entry hosts of the region that are registered in the store. */
  readonly regionHosts: () => readonly HostId[];
  readonly signal: AbortSignal;
}

/**
 * Starts the tasks of an entry host that follow the store, the hosts and the engines until the signal
 * aborts.
 *
 * @returns promises that never reject
 */
export function startHostTasks(options: HostTasksOptions): readonly Promise<void>[] {
  const { clock, log, store, own, context, view, peers, signal } = options;
  const tasks: Readonly<Record<string, () => Promise<void>>> = {
    'store-follower': () =>
      runStoreFollower({
        clock,
        log,
        store,
        view,
        watchWaitMs: WATCH_WAIT_MS,
        watchPauseMs: WATCH_PAUSE_MS,
        retryPauseMs: STORE_RETRY_MS,
        syncFromPeer: options.syncFromPeer,
        signal,
      }),
    'host-registration': () =>
      runHostRegistration({
        clock,
        log,
        store,
        ...options.registration,
        leaseTtlMs: HOST_LEASE_TTL_MS,
        renewEveryMs: HOST_LEASE_RENEWAL_MS,
        random: options.random,
        isRegistered: () => view.hosts().some(({ id }) => id === own.id),
        hostCount: () => peers.known().length + 1,
        onStoreRestored: view.onRestored,
        signal,
      }),
    'cache-follower': () =>
      runCacheFollower({
        clock,
        log,
        ownId: own.id,
        region: own.region,
        regionHosts: options.regionHosts,
        view,
        feed: options.createCacheFeed(
          context.serverConnections,
          createCacheResponseRecorder(context),
        ),
        prefixes: context.prefixes,
        mayCall: context.mayCallServer,
        signal,
      }),
    'version-keeper': () =>
      runVersionKeeper({
        clock,
        log,
        metrics: options.metrics,
        store,
        ownId: own.id,
        view,
        peers,
        streams: context.streamVersions,
        encode: options.encodeKeptVersion,
        signal,
      }),
    'configuration-keeper': () =>
      runConfigurationKeeper({
        clock,
        log,
        metrics: options.metrics,
        store,
        ownId: own.id,
        view,
        peers,
        encode: options.encodeKeptConfiguration,
        signal,
      }),
    'peer-store-follower': () =>
      runPeerStoreFollower({
        clock,
        log,
        own,
        view,
        peers,
        fetchStoreUpdate: options.fetchStoreUpdate,
        signal,
      }),
  };
  return Object.entries(tasks).map(([task, run]) => keepRunning({ clock, log, task, signal }, run));
}
