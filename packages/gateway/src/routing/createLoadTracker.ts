import type { Clock, ServerId } from '@camphorbarrow/core';
import type { ServerLoad } from '../model/ServerLoad.js';
import { createPeerTotals } from '../peers/createPeerTotals.js';
import type { HostLoad, PeerHeartbeat } from '../peers/PeerHeartbeat.js';

/** Older load reports are ignored. */
const REPORT_MAX_AGE_MS = 500;
/** Time constant of the exponential decay of a reported slowdown to none; it changes often. */
const SLOWDOWN_DECAY_MS = 300;

/** Handle of a running request at a server. */
export interface TrackedRequest {
  /** Marks the start of the response, after which the prefill is complete. */
  responseStarted(): void;
}

/** Work that a request causes at a server. */
export interface RequestWork {
  readonly rank: number;
  /** Prompt tokens to prefill, without cached ones. */
  readonly promptTokens: number;
}

/** Tracks the requests at each server, from this host, its peers and the reports of servers. */
export interface LoadTracker {
  /**
   * Runs a request at the server and counts it until the promise settles, or until the function
   * throws: a count that is not taken back would keep the server's capacity for good.
   */
  trackWhile<Result>(
    server: ServerId,
    work: RequestWork,
    run: (request: TrackedRequest) => Promise<Result>,
  ): Promise<Result>;
  /** Records the load that the server reported in a response. */
  recordReport(server: ServerId, load: ServerLoad): void;
  /** Load that this host causes at the server. */
  ownLoad(server: ServerId): HostLoad;
  /** Number of requests of all entry hosts at the server, as far as known. */
  running(server: ServerId): number;
  /** Like `running`, without regard to what the server reports. */
  runningOfHosts(server: ServerId): number;
  /** Prompt tokens that the server prefills before a new request of this rank. */
  tokensAhead(server: ServerId, rank: number): number;
  /** Part of `tokensAhead` that this host has sent. */
  ownTokensAhead(server: ServerId, rank: number): number;
  /** Number of waiting requests in the latest report; 0 if there is no recent report. */
  reportedWaiting(server: ServerId): number;
  /** Expected duration of work at the server now, relative to usual, by its latest report. */
  slowdownRatio(server: ServerId): number;
  /** Load of this host at all servers with running requests, for heartbeats. */
  ownLoads(): ReadonlyMap<ServerId, HostLoad>;
}

interface Counters {
  running: number;
  readonly pendingTokens: Map<number, number>;
}

const NO_LOAD: HostLoad = { running: 0, pendingTokens: new Map() };

interface PeerLoads {
  readonly heartbeat: Pick<PeerHeartbeat, 'loads'>;
}

/** Load of the peers at one server. */
interface PeerLoadTotal extends Counters {
  /** Number of peers that report a load at the server. */
  reporters: number;
}

/** Rounded, because sums to which fractions were added and taken off again keep a tiny rest. */
function tokensUpTo(rank: number, { pendingTokens }: HostLoad): number {
  if (pendingTokens.size === 0) {
    return 0;
  }
  let sum = 0;
  pendingTokens.forEach((tokens, pendingRank) => {
    sum += pendingRank <= rank ? tokens : 0;
  });
  return Math.max(0, Math.round(sum));
}

/**
 * Creates a tracker. `peers` returns the other hosts that use the same servers, in the same array
 * until one of them reports again.
 */
export function createLoadTracker(clock: Clock, peers: () => readonly PeerLoads[]): LoadTracker {
  const counters = new Map<ServerId, Counters>();
  const reports = new Map<ServerId, { load: ServerLoad; atMs: number }>();

  function freshReport(server: ServerId): ServerLoad | undefined {
    const report = reports.get(server);
    return report !== undefined && clock.monotonicMs() - report.atMs <= REPORT_MAX_AGE_MS
      ? report.load
      : undefined;
  }

  const ownLoad = (server: ServerId): HostLoad => counters.get(server) ?? NO_LOAD;
  const totals = new Map<ServerId, PeerLoadTotal>();
  const updateTotals = createPeerTotals<PeerLoads['heartbeat']>(peers, (heartbeat, change) =>
    heartbeat.loads.forEach((load, server) => {
      const total = totals.get(server) ?? { running: 0, pendingTokens: new Map(), reporters: 0 };
      totals.set(server, total);
      total.running += change * load.running;
      load.pendingTokens.forEach((tokens, rank) => {
        total.pendingTokens.set(rank, (total.pendingTokens.get(rank) ?? 0) + change * tokens);
      });
      total.reporters += change;
      if (total.reporters === 0) {
        totals.delete(server);
      }
    }),
  );

  function peerLoad(server: ServerId): HostLoad {
    updateTotals();
    return totals.get(server) ?? NO_LOAD;
  }

  const runningOfHosts = (server: ServerId): number =>
    ownLoad(server).running + peerLoad(server).running;

  return {
    async trackWhile(server, { rank, promptTokens }, run) {
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
      const responseStarted = (): void => {
        if (pending) {
          pending = false;
          addPending(-promptTokens);
        }
      };
      try {
        return await run({ responseStarted });
      } finally {
        responseStarted();
        counter.running -= 1;
        if (counter.running === 0) {
          counters.delete(server);
        }
      }
    },
    recordReport(server, load) {
      reports.set(server, { load, atMs: clock.monotonicMs() });
    },
    ownLoad,
    running(server) {
      const report = freshReport(server);
      return Math.max(
        runningOfHosts(server),
        report === undefined ? 0 : report.running + report.waiting,
      );
    },
    runningOfHosts,
    ownTokensAhead: (server, rank) => tokensUpTo(rank, ownLoad(server)),
    tokensAhead: (server, rank) =>
      tokensUpTo(rank, ownLoad(server)) + tokensUpTo(rank, peerLoad(server)),
    reportedWaiting: (server) => freshReport(server)?.waiting ?? 0,
    slowdownRatio(server) {
      const report = reports.get(server);
      if (report === undefined || report.load.slowdownRatio === 1) {
        return 1;
      }
      const decay = Math.exp((report.atMs - clock.monotonicMs()) / SLOWDOWN_DECAY_MS);
      return 1 + (report.load.slowdownRatio - 1) * decay;
    },
    ownLoads: () => counters,
  };
}
