import type { Incarnation } from '../ids/Incarnation.js';
import type { ServerId } from '../ids/ServerId.js';
import type { CacheEvent } from '../ports/CacheEvent.js';
import type { Clock } from '../ports/Clock.js';
import type { HostListEntry } from '../ports/HostList.js';
import type { LogSink } from '../ports/LogSink.js';
import type { ServerView } from './ServerView.js';
import type { PrefixIndex } from './createPrefixIndex.js';

export interface CacheEventPollerOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly index: PrefixIndex;
  readonly servers: () => readonly ServerView[];
  readonly readCacheEvents: (
    entry: HostListEntry,
    afterSequence: number,
  ) => Promise<readonly CacheEvent[]>;
  /** Minimum time between two polls of one server. @default 1000 */
  readonly intervalMs?: number;
  /** Rate limit of the polls of all servers together. @default 32 */
  readonly maxPollsPerSecond?: number;
}

export interface CacheEventPoller {
  /** Polls every accepting engine once, within the rate limit. */
  pollOnce(): Promise<void>;
  start(): void;
  close(): Promise<void>;
}

const DEFAULT_INTERVAL_MS = 1_000;
const DEFAULT_MAX_POLLS_PER_SECOND = 32;
const MS_PER_SECOND = 1_000;

/** Creates the poller that applies the engines' cache events to the prefix index. */
export function createCacheEventPoller(options: CacheEventPollerOptions): CacheEventPoller {
  const { clock, log, index } = options;
  const pollSpacingMs = MS_PER_SECOND / (options.maxPollsPerSecond ?? DEFAULT_MAX_POLLS_PER_SECOND);
  const stopping = new AbortController();
  const incarnations = new Map<ServerId, Incarnation>();
  const failingServers = new Set<ServerId>();
  let task: Promise<void> | undefined;

  const sleep = (durationMs: number): Promise<void> =>
    clock.sleep(durationMs, stopping.signal).catch(() => undefined);

  /** Resets the index of a restarted engine, which has an empty cache and a new event sequence. */
  function updateIncarnation({ entry: { serverId }, load }: ServerView): void {
    if (load === undefined) {
      return;
    }
    const previous = incarnations.get(serverId);
    if (previous !== undefined && previous !== load.incarnation) {
      index.removeServer(serverId);
    }
    incarnations.set(serverId, load.incarnation);
  }

  function removeUnlistedServers(servers: readonly ServerView[]): void {
    const listed = new Set(servers.map(({ entry }) => entry.serverId));
    [...incarnations.keys()]
      .filter((serverId) => !listed.has(serverId))
      .forEach((serverId) => {
        incarnations.delete(serverId);
        failingServers.delete(serverId);
        index.removeServer(serverId);
      });
  }

  async function poll(server: ServerView): Promise<void> {
    const { serverId } = server.entry;
    try {
      const events = await options.readCacheEvents(server.entry, index.lastSequence(serverId));
      failingServers.delete(serverId);
      index.applyEvents(serverId, events);
    } catch (cause) {
      if (!failingServers.has(serverId)) {
        failingServers.add(serverId);
        index.markUnconfirmed(serverId);
        log.warn('cache-events-unavailable', { serverId, error: String(cause) });
      }
    }
  }

  async function pollOnce(): Promise<void> {
    const servers = options.servers().filter(({ entry }) => entry.kind === 'engine');
    removeUnlistedServers(servers);
    servers.forEach(updateIncarnation);
    const polls: Promise<void>[] = [];
    for (const server of servers.filter(({ accepting }) => accepting)) {
      if (stopping.signal.aborted) {
        break;
      }
      polls.push(poll(server));
      await sleep(pollSpacingMs);
    }
    await Promise.all(polls);
  }

  async function pollUntilClosed(): Promise<void> {
    while (!stopping.signal.aborted) {
      await pollOnce();
      await sleep(options.intervalMs ?? DEFAULT_INTERVAL_MS);
    }
  }

  return {
    pollOnce,
    start() {
      task = pollUntilClosed();
    },
    async close() {
      stopping.abort();
      await task;
    },
  };
}
