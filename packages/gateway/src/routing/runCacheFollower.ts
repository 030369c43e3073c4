import type { Clock, HostId, LogSink, RegionId } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { ServerState } from '../model/ServerState.js';
import type { CacheFeed } from '../ports/CacheFeed.js';
import type { PrefixCacheTracker } from './createPrefixCacheTracker.js';
import { rankByRendezvous } from './rankByRendezvous.js';

/** Engines hold back a call for this long while nothing changes. */
const WAIT_MS = 1_000;
/** Pause between two calls; a call that finds changes at once is priced as a probe. */
const PAUSE_MS = 600;
const RETRY_MS = 2_000;
/** How often the list of servers is looked at for new ones. */
const SCAN_MS = 500;
/** Entry hosts that follow the same engine; engines keep only a few such calls waiting. */
const FOLLOWERS_PER_ENGINE = 4;

export interface CacheFollowerOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly ownId: HostId;
  readonly region: RegionId;
  /** Entry hosts of this region that are in service, this one included. */
  readonly regionHosts: () => readonly HostId[];
  readonly view: FleetView;
  readonly feed: CacheFeed;
  readonly prefixes: PrefixCacheTracker;
  readonly signal: AbortSignal;
}

/** Follows what the engines of this region have cached, with one task for each engine. */
export async function runCacheFollower(options: CacheFollowerOptions): Promise<void> {
  const { clock, log, view, prefixes, signal } = options;
  const followed = new Set<string>();

  function isEngine(server: ServerState): boolean {
    const service = view.table()?.services.get(server.registration.service);
    return server.region === options.region && service?.kvCapacityTokens !== undefined;
  }

  function isChosen({ registration }: ServerState): boolean {
    return rankByRendezvous(registration.id, [...options.regionHosts()])
      .slice(0, FOLLOWERS_PER_ENGINE)
      .includes(options.ownId);
  }

  const isCurrent = ({ registration, incarnation }: ServerState): boolean =>
    view.servers.get(registration.id)?.incarnation === incarnation;

  async function follow(server: ServerState): Promise<void> {
    const { incarnation } = server;
    let since = 0;
    let epoch: string | undefined;
    while (!signal.aborted && isCurrent(server)) {
      try {
        const news = await options.feed.waitForUpdate(server, since, WAIT_MS);
        if (news.lost || (epoch !== undefined && news.epoch !== epoch)) {
          prefixes.forget(incarnation);
        }
        ({ epoch, next: since } = news);
        prefixes.applyReport(incarnation, news.changes);
        await clock.sleep(PAUSE_MS, signal);
      } catch (error) {
        if (signal.aborted) {
          return;
        }
        log.warn('cache-news-failed', {
          serverId: server.registration.id,
          reason: (error as Error).message,
        });
        prefixes.discardReports(incarnation);
        await clock.sleep(RETRY_MS, signal).catch(() => undefined);
      }
    }
  }

  while (!signal.aborted) {
    view.servers
      .all()
      .filter((server) => isEngine(server) && !followed.has(server.incarnation) && isChosen(server))
      .forEach((server) => {
        followed.add(server.incarnation);
        void follow(server).finally(() => followed.delete(server.incarnation));
      });
    await clock.sleep(SCAN_MS, signal).catch(() => undefined);
  }
}
