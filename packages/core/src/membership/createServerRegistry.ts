import { ConnectFailedError } from '../errors/ConnectFailedError.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { ServerId } from '../ids/ServerId.js';
import type { Clock } from '../ports/Clock.js';
import type { HostList, HostListEntry } from '../ports/HostList.js';
import type { LoadReport } from '../ports/LoadReport.js';
import type { LogSink } from '../ports/LogSink.js';
import type { ServerView } from '../routing/ServerView.js';

export interface ServerRegistryOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly hostList: HostList;
  /** Which servers of the host list this entry host sends work to. */
  readonly isUsed: (entry: HostListEntry) => boolean;
  readonly readLoad: (entry: HostListEntry) => Promise<LoadReport>;
  /** Time between two reads of the host list or of one server's load. @default 1000 */
  readonly pollIntervalMs?: number;
}

/** Work of this entry host at one server; released exactly once. */
export interface ServerReservation {
  release(): void;
}

export interface ServerRegistry {
  servers(): readonly ServerView[];
  get(serverId: ServerId): ServerView | undefined;
  reserve(serverId: ServerId, tokens: number): ServerReservation;
  /** Stops new work to a server until it answers a load poll again. */
  markUnreachable(serverId: ServerId): void;
  /** Reads the host list and all loads once. */
  refresh(): Promise<void>;
  /** Starts the polls in the background. */
  start(): void;
  close(): Promise<void>;
}

interface ServerState {
  entry: HostListEntry;
  load: LoadReport | undefined;
  loadAtMs: number;
  ownInFlightRequests: number;
  ownInFlightTokens: number;
  ownTokensSinceReport: number;
  reachable: boolean;
  /** Incarnation that announced it is leaving; a newer one may take work again. */
  leavingIncarnation: Incarnation | undefined;
}

const DEFAULT_POLL_INTERVAL_MS = 1_000;

function isAccepting(state: ServerState): boolean {
  const { entry, load, reachable, leavingIncarnation } = state;
  if (!reachable || entry.state === 'leaving' || load?.state === 'leaving') {
    return false;
  }
  return leavingIncarnation === undefined || load?.incarnation !== leavingIncarnation;
}

/** Creates the view of the backend servers from the host list and from direct load polls. */
export function createServerRegistry(options: ServerRegistryOptions): ServerRegistry {
  const { clock, log } = options;
  const pollIntervalMs = options.pollIntervalMs ?? DEFAULT_POLL_INTERVAL_MS;
  const states = new Map<ServerId, ServerState>();
  const stopping = new AbortController();
  const tasks = new Set<Promise<void>>();

  function toView(state: ServerState): ServerView {
    return { ...state, accepting: isAccepting(state) };
  }

  function applyList(entries: readonly HostListEntry[]): void {
    const used = entries.filter((entry) => options.isUsed(entry));
    const listed = new Set(used.map((entry) => entry.serverId));
    [...states.keys()].filter((id) => !listed.has(id)).forEach((id) => states.delete(id));
    used.forEach((entry) => {
      const state = states.get(entry.serverId);
      if (state === undefined) {
        states.set(entry.serverId, {
          entry,
          load: undefined,
          loadAtMs: clock.monotonicMs(),
          ownInFlightRequests: 0,
          ownInFlightTokens: 0,
          ownTokensSinceReport: 0,
          reachable: true,
          leavingIncarnation: undefined,
        });
      } else {
        state.entry = entry;
      }
    });
  }

  function applyLoad(state: ServerState, load: LoadReport): void {
    state.load = load;
    state.loadAtMs = clock.monotonicMs();
    state.ownTokensSinceReport = 0;
    state.reachable = true;
    if (load.state === 'leaving') {
      state.leavingIncarnation = load.incarnation;
    }
  }

  async function refreshList(): Promise<void> {
    try {
      applyList(await options.hostList.read());
    } catch (cause) {
      log.warn('host-list-unavailable', { error: String(cause) });
    }
  }

  async function refreshLoad(state: ServerState): Promise<void> {
    try {
      applyLoad(state, await options.readLoad(state.entry));
    } catch (cause) {
      state.reachable = false;
      const refused = cause instanceof ConnectFailedError;
      log.warn('load-poll-failed', { serverId: state.entry.serverId, refused });
    }
  }

  async function refreshLoads(): Promise<void> {
    await Promise.all([...states.values()].map(refreshLoad));
  }

  async function refresh(): Promise<void> {
    await refreshList();
    await refreshLoads();
  }

  async function repeat(task: () => Promise<void>): Promise<void> {
    while (!stopping.signal.aborted) {
      await task();
      await clock.sleep(pollIntervalMs, stopping.signal).catch(() => undefined);
    }
  }

  // A host list that does not answer must not hold back the polls that show leaving servers.
  async function poll(): Promise<void> {
    await refreshList();
    await Promise.all([repeat(refreshList), repeat(refreshLoads)]);
  }

  return {
    servers: () => [...states.values()].map(toView),
    get(serverId) {
      const state = states.get(serverId);
      return state === undefined ? undefined : toView(state);
    },
    reserve(serverId, tokens) {
      const state = states.get(serverId);
      let held = state !== undefined;
      if (state !== undefined) {
        state.ownInFlightRequests += 1;
        state.ownInFlightTokens += tokens;
        state.ownTokensSinceReport += tokens;
      }
      return {
        release() {
          if (state !== undefined && held) {
            held = false;
            state.ownInFlightRequests -= 1;
            state.ownInFlightTokens -= tokens;
          }
        },
      };
    },
    markUnreachable(serverId) {
      const state = states.get(serverId);
      if (state !== undefined) {
        state.reachable = false;
      }
    },
    refresh,
    start() {
      tasks.add(poll());
    },
    async close() {
      stopping.abort();
      await Promise.all(tasks);
    },
  };
}
