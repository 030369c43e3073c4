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
  /** Whether this entry host sends work to a server of the host list. */
  readonly isUsed: (entry: HostListEntry) => boolean;
  readonly readLoad: (entry: HostListEntry) => Promise<LoadReport>;
  /**
   * Interval between reads of the host list, and between reads of a server's load. @default 1000
   */
  readonly pollIntervalMs?: number;
}

/** Work of this entry host on one server; only the first release counts. */
export interface ServerReservation {
  release(): void;
}

export interface ServerRegistry {
  /** Whether the first read of the host list has ended; before that, no server is known. */
  hasReadList(): boolean;
  servers(): readonly ServerView[];
  get(serverId: ServerId): ServerView | undefined;
  /** Counts a request with its tokens as in flight on a server until it is released. */
  reserve(serverId: ServerId, tokens: number): ServerReservation;
  /** Excludes a server from new work until it responds to a load poll again. */
  markUnreachable(serverId: ServerId): void;
  /** Reads the host list and the load of every server once. */
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
  /** Incarnation that reported that it is leaving; a newer one may accept work again. */
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

/** Creates the registry of the backend servers, based on the host list and on direct load polls. */
export function createServerRegistry(options: ServerRegistryOptions): ServerRegistry {
  const { clock, log } = options;
  const pollIntervalMs = options.pollIntervalMs ?? DEFAULT_POLL_INTERVAL_MS;
  const states = new Map<ServerId, ServerState>();
  const stopping = new AbortController();
  const tasks = new Set<Promise<void>>();
  let polling = false;
  let hasReadList = false;

  function toView(state: ServerState): ServerView {
    return { ...state, accepting: isAccepting(state) };
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

  async function refreshLoad(state: ServerState): Promise<void> {
    try {
      applyLoad(state, await options.readLoad(state.entry));
    } catch (cause) {
      state.reachable = false;
      const refused = cause instanceof ConnectFailedError;
      log.warn('load-poll-failed', { serverId: state.entry.serverId, refused });
    }
  }

  const waitForNextPoll = (): Promise<void> =>
    clock.sleep(pollIntervalMs, stopping.signal).catch(() => undefined);

  function runTask(task: Promise<void>): void {
    tasks.add(task);
    void task.finally(() => tasks.delete(task));
  }

  /** Polls one server until it is removed from the list; a stalled server delays no other poll. */
  async function pollServer(state: ServerState): Promise<void> {
    while (!stopping.signal.aborted && states.get(state.entry.serverId) === state) {
      await refreshLoad(state);
      await waitForNextPoll();
    }
  }

  function addServer(entry: HostListEntry): void {
    const state: ServerState = {
      entry,
      load: undefined,
      loadAtMs: clock.monotonicMs(),
      ownInFlightRequests: 0,
      ownInFlightTokens: 0,
      ownTokensSinceReport: 0,
      reachable: true,
      leavingIncarnation: undefined,
    };
    states.set(entry.serverId, state);
    if (polling) {
      runTask(pollServer(state));
    }
  }

  function applyList(entries: readonly HostListEntry[]): void {
    const used = entries.filter((entry) => options.isUsed(entry));
    const listed = new Set(used.map((entry) => entry.serverId));
    [...states.keys()].filter((id) => !listed.has(id)).forEach((id) => states.delete(id));
    used.forEach((entry) => {
      const state = states.get(entry.serverId);
      if (state === undefined) {
        addServer(entry);
      } else {
        state.entry = entry;
      }
    });
  }

  async function refreshList(): Promise<void> {
    try {
      applyList(await options.hostList.read());
    } catch (cause) {
      log.warn('host-list-unavailable', { error: String(cause) });
    }
    hasReadList = true;
  }

  async function refresh(): Promise<void> {
    await refreshList();
    await Promise.all([...states.values()].map(refreshLoad));
  }

  async function pollList(): Promise<void> {
    while (!stopping.signal.aborted) {
      await refreshList();
      await waitForNextPoll();
    }
  }

  return {
    hasReadList: () => hasReadList,
    servers: () => [...states.values()].map(toView),
    get(serverId) {
      const state = states.get(serverId);
      return state === undefined ? undefined : toView(state);
    },
    reserve(serverId, tokens) {
      const state = states.get(serverId);
      let isReserved = state !== undefined;
      if (state !== undefined) {
        state.ownInFlightRequests += 1;
        state.ownInFlightTokens += tokens;
        state.ownTokensSinceReport += tokens;
      }
      return {
        release() {
          if (state !== undefined && isReserved) {
            isReserved = false;
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
      polling = true;
      [...states.values()].forEach((state) => runTask(pollServer(state)));
      runTask(pollList());
    },
    async close() {
      stopping.abort();
      await Promise.all(tasks);
    },
  };
}
