import { waitForPoll } from '@camphorbarrow/core';
import type { Clock, HostId, LogSink, RegionId, ServerId } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import { memoizeLatest } from '../fleet/memoizeLatest.js';
import type { ServerState } from '../model/ServerState.js';
import type { CacheFeed } from '../ports/CacheFeed.js';
import type { PrefixCacheTracker } from './createPrefixCacheTracker.js';
import { rankByRendezvous } from './rankByRendezvous.js';

/** Maximum time for which a long-polling call to an engine waits for changes. */
const MAX_WAIT_MS = 1_000;
/** Pause between two calls; a call that returns changes immediately is charged as a probe. */
const PAUSE_MS = 600;
const RETRY_DELAY_MS = 2_000;
/** Interval for checking the server list for new servers. */
const SCAN_INTERVAL_MS = 500;
/** Number of entry hosts that follow an engine; engines accept only a few waiting calls. */
const FOLLOWERS_PER_ENGINE = 4;

export interface CacheFollowerOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly ownId: HostId;
  readonly region: RegionId;
  /** Entry hosts of this region that are registered in the store, in the same array until they change. */
  readonly regionHosts: () => readonly HostId[];
  readonly view: FleetView;
  readonly feed: CacheFeed;
  readonly prefixes: PrefixCacheTracker;
  /**
   * Whether this host may call the engine. An engine that is leaving or has asked for a pause gets
   * no calls, and one that accepts only a limited rate of requests is left to callers.
   */
  readonly mayCall: (server: ServerState) => boolean;
  readonly signal: AbortSignal;
}

/** Follows the cache contents of the engines of this region, with one task per engine. */
export async function runCacheFollower(options: CacheFollowerOptions): Promise<void> {
  const { clock, log, view, prefixes, signal } = options;
  const followed = new Set<string>();

  function isEngine(server: ServerState): boolean {
    const service = view.table()?.services.get(server.registration.service);
    return server.region === options.region && service?.kvCapacityTokens !== undefined;
  }

  /** Hosts of the region, and whether this one follows an engine while they stay the same. */
  const following = memoizeLatest(options.regionHosts, (hosts) => ({
    hosts,
    isFollowed: new Map<ServerId, boolean>(),
  }));

  function isFollower({ registration: { id } }: ServerState): boolean {
    const { hosts, isFollowed } = following();
    const isOwn =
      isFollowed.get(id) ??
      rankByRendezvous(id, hosts).slice(0, FOLLOWERS_PER_ENGINE).includes(options.ownId);
    isFollowed.set(id, isOwn);
    return isOwn;
  }

  const isCurrent = ({ registration, incarnation }: ServerState): boolean =>
    view.servers.get(registration.id)?.incarnation === incarnation;

  async function follow(server: ServerState): Promise<void> {
    const { incarnation } = server;
    let since = 0;
    let epoch: string | undefined;
    while (!signal.aborted && isCurrent(server) && isFollower(server)) {
      // What an engine asks for in a response has been read then.
      await waitForPoll();
      if (signal.aborted) {
        return;
      }
      if (!options.mayCall(server)) {
        await clock.sleep(RETRY_DELAY_MS, signal).catch(() => undefined);
        continue;
      }
      try {
        const update = await options.feed.waitForUpdate(server, since, MAX_WAIT_MS);
        if (update.lost || (epoch !== undefined && update.epoch !== epoch)) {
          prefixes.forget(incarnation);
        }
        ({ epoch, next: since } = update);
        prefixes.applyReport(incarnation, update.changes);
        await clock.sleep(PAUSE_MS, signal);
      } catch (error) {
        if (signal.aborted) {
          return;
        }
        log.warn('cache-update-failed', {
          serverId: server.registration.id,
          reason: (error as Error).message,
        });
        prefixes.discardReports(incarnation);
        await clock.sleep(RETRY_DELAY_MS, signal).catch(() => undefined);
      }
    }
    prefixes.discardReports(incarnation);
  }

  while (!signal.aborted) {
    view.servers
      .all()
      .filter(
        (server) => isEngine(server) && !followed.has(server.incarnation) && isFollower(server),
      )
      .forEach((server) => {
        followed.add(server.incarnation);
        void follow(server)
          .catch((error: unknown) => log.error('task-failed', { task: 'cache-updates' }, error))
          .finally(() => followed.delete(server.incarnation));
      });
    await clock.sleep(SCAN_INTERVAL_MS, signal).catch(() => undefined);
  }
}
