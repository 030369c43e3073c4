import type { Clock, ServerId } from '@camphorbarrow/core';
import type { ServerLoad } from '../model/ServerLoad.js';
import type { HostLoad, PeerHeartbeat } from '../peers/PeerHeartbeat.js';

/** Load reports that are older say nothing of the present. */
const REPORT_MAX_AGE_MS = 500;

/** One request at one server, for as long as it runs there. */
export interface TrackedRequest {
  /** The answer has begun: its prompt is read. */
  responseStarted(): void;
  ended(): void;
}

/** What a request asks of a server. */
export interface RequestWork {
  readonly rank: number;
  /** Tokens to read, without those cached. */
  readonly promptTokens: number;
}

export interface LoadTracker {
  trackRequest(server: ServerId, work: RequestWork): TrackedRequest;
  /** Load that the server told with an answer. */
  recordReport(server: ServerId, load: ServerLoad): void;
  /** This host's own requests at the server. */
  ownLoad(server: ServerId): HostLoad;
  /** Requests that all entry hosts run there, as far as they are known. */
  running(server: ServerId): number;
  /** Prompt tokens that the server reads before those of a new request of this rank. */
  tokensAhead(server: ServerId, rank: number): number;
  /** Newest report of waiting requests; 0 when there is none of late. */
  reportedWaiting(server: ServerId): number;
  /** Own requests at all servers that have any, for heartbeats. */
  ownLoads(): ReadonlyMap<ServerId, HostLoad>;
}

interface Counters {
  running: number;
  readonly pendingTokens: Map<number, number>;
}

const NO_LOAD: HostLoad = { running: 0, pendingTokens: new Map() };

interface LoadTeller {
  readonly heartbeat: Pick<PeerHeartbeat, 'loads'>;
}

function addLoads(a: HostLoad, b: HostLoad): HostLoad {
  const pendingTokens = new Map(a.pendingTokens);
  b.pendingTokens.forEach((tokens, rank) => {
    pendingTokens.set(rank, (pendingTokens.get(rank) ?? 0) + tokens);
  });
  return {
    running: a.running + b.running,
    pendingTokens,
  };
}

function tokensUpTo(rank: number, { pendingTokens }: HostLoad): number {
  let sum = 0;
  pendingTokens.forEach((tokens, pendingRank) => {
    sum += pendingRank <= rank ? tokens : 0;
  });
  return sum;
}

/**
 * Creates the count of requests at each server. `tellers` are the other hosts that use the same
 * servers; what they told is summed once for each new array of them.
 */
export function createLoadTracker(clock: Clock, tellers: () => readonly LoadTeller[]): LoadTracker {
  const counters = new Map<ServerId, Counters>();
  const reports = new Map<ServerId, { load: ServerLoad; atMs: number }>();

  function freshReport(server: ServerId): ServerLoad | undefined {
    const report = reports.get(server);
    return report !== undefined && clock.monotonicMs() - report.atMs <= REPORT_MAX_AGE_MS
      ? report.load
      : undefined;
  }

  const own = (server: ServerId): HostLoad => counters.get(server) ?? NO_LOAD;
  let summed: readonly LoadTeller[] = [];
  let sums = new Map<ServerId, HostLoad>();

  function others(server: ServerId): HostLoad {
    const current = tellers();
    if (current !== summed) {
      summed = current;
      sums = new Map();
      current.forEach(({ heartbeat }) =>
        heartbeat.loads.forEach((load, id) => {
          const known = sums.get(id);
          sums.set(id, known === undefined ? load : addLoads(known, load));
        }),
      );
    }
    return sums.get(server) ?? NO_LOAD;
  }

  return {
    trackRequest(server, { rank, promptTokens }) {
      const counter = counters.get(server) ?? {
        running: 0,
        pendingTokens: new Map(),
      };
      counters.set(server, counter);
      const addPending = (tokens: number): void => {
        counter.pendingTokens.set(rank, (counter.pendingTokens.get(rank) ?? 0) + tokens);
      };
      counter.running += 1;
      addPending(promptTokens);
      let pending = true;
      let running = true;
      const begun = (): void => {
        if (pending) {
          pending = false;
          addPending(-promptTokens);
        }
      };
      return {
        responseStarted: begun,
        ended() {
          begun();
          if (running) {
            running = false;
            counter.running -= 1;
            if (counter.running === 0) {
              counters.delete(server);
            }
          }
        },
      };
    },
    recordReport(server, load) {
      reports.set(server, { load, atMs: clock.monotonicMs() });
    },
    ownLoad: own,
    running(server) {
      const counted = own(server).running + others(server).running;
      const report = freshReport(server);
      return Math.max(counted, report === undefined ? 0 : report.running + report.waiting);
    },
    tokensAhead: (server, rank) => tokensUpTo(rank, own(server)) + tokensUpTo(rank, others(server)),
    reportedWaiting: (server) => freshReport(server)?.waiting ?? 0,
    ownLoads: () => counters,
  };
}
