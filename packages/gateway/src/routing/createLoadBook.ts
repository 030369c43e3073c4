import type { Clock, ServerId } from '@camphorbarrow/core';
import type { ServerLoad } from '../model/ServerLoad.js';
import type { HostLoad } from '../peers/PeerHeartbeat.js';

/** Load reports that are older say nothing of the present. */
const REPORT_MAX_AGE_MS = 500;

/** One request at one server, for as long as it runs there. */
export interface LoadTicket {
  /** The answer has begun: its prompt is read. */
  begun(): void;
  ended(): void;
}

export interface LoadBook {
  begin(server: ServerId, rank: number, promptTokens: number): LoadTicket;
  /** Load that the server told with an answer. */
  report(server: ServerId, load: ServerLoad): void;
  /** This host's own requests at the server. */
  own(server: ServerId): HostLoad;
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

/** Creates the count of requests at each server. `peerLoads` gives what other hosts told last. */
export function createLoadBook(
  clock: Clock,
  peerLoads: () => readonly ReadonlyMap<ServerId, HostLoad>[],
): LoadBook {
  const counters = new Map<ServerId, Counters>();
  const reports = new Map<ServerId, { load: ServerLoad; atMs: number }>();

  function freshReport(server: ServerId): ServerLoad | undefined {
    const report = reports.get(server);
    return report !== undefined && clock.monotonicMs() - report.atMs <= REPORT_MAX_AGE_MS
      ? report.load
      : undefined;
  }

  const own = (server: ServerId): HostLoad => counters.get(server) ?? NO_LOAD;
  const allLoads = (server: ServerId): readonly HostLoad[] => [
    own(server),
    ...peerLoads().map((loads) => loads.get(server) ?? NO_LOAD),
  ];

  return {
    begin(server, rank, promptTokens) {
      const counter = counters.get(server) ?? { running: 0, pendingTokens: new Map() };
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
        begun,
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
    report(server, load) {
      reports.set(server, { load, atMs: clock.monotonicMs() });
    },
    own,
    running(server) {
      const counted = allLoads(server).reduce((sum, load) => sum + load.running, 0);
      const report = freshReport(server);
      return Math.max(counted, report === undefined ? 0 : report.running + report.waiting);
    },
    tokensAhead: (server, rank) =>
      allLoads(server)
        .flatMap(({ pendingTokens }) => [...pendingTokens])
        .filter(([pendingRank]) => pendingRank <= rank)
        .reduce((sum, [, tokens]) => sum + tokens, 0),
    reportedWaiting: (server) => freshReport(server)?.waiting ?? 0,
    ownLoads: () => counters,
  };
}
