import type { Socket } from 'node:net';
import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';
import type { Endpoint } from '../model/Endpoint.js';
import type { ServerState } from '../model/ServerState.js';
import type { ConnectOutcome } from '../upstream/tryConnect.js';
import type { ServerClaims } from './createServerClaims.js';
import type { ServerStarts, StartReport } from './createServerStarts.js';

/**
 * Time after the end of a response within which its server is asked again. A busy server responds late,
 * one that has as many connections as it accepts resets further ones, and a connection that was open
 * before may be gone.
 */
const MAX_CHECK_MS = 1_500;
const CHECK_INTERVAL_MS = 100;
/**
 * Time within which the connections of a process end after its successor has told its own start. One that
 * lasted longer belongs to the successor.
 */
const END_MARGIN_MS = 200;

/** What showed that the process behind a response still runs, or why nothing did. */
type EndEvidence =
  | 'same-start'
  | 'reported-start'
  | 'connection'
  | 'other-start'
  | 'no-report'
  | Exclude<ConnectOutcome, 'open'>;

export interface EndChecksOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly starts: Pick<ServerStarts, 'ask'>;
  readonly claims: Pick<ServerClaims, 'recordConnection' | 'reportedStartOn'>;
  /** Opens a connection and closes it again without a request. */
  readonly connect: (endpoint: Endpoint) => Promise<ConnectOutcome>;
}

/**
 * Tells the end of a response that has neither length nor chunks from that of its server: the operating
 * system ends the connections of a killed process like one that ends a response.
 */
export interface EndChecks {
  /**
   * Finds out, at the end of such a response, whether the process that wrote it still runs: it reports
   * its start, or, if it may not be asked or does not tell, a connection to it can be opened. Resolves
   * with false if that can't be shown: at once if another process runs or none listens, otherwise within
   * 2.5 s. Never rejects.
   *
   * @param server the server as it was when the request was sent
   * @param socket connection of the response, which has ended
   */
  confirmEnd(server: ServerState, socket: Socket): Promise<boolean>;
}

export function createEndChecks(options: EndChecksOptions): EndChecks {
  const { clock, log, metrics, starts } = options;

  async function findEvidence(server: ServerState, writer: Socket): Promise<EndEvidence> {
    const { endpoint, startedAtMs } = server.registration;
    const endedAtMs = clock.monotonicMs();

    for (;;) {
      const report: StartReport =
        startedAtMs === undefined
          ? { kind: 'untold' }
          : await starts.ask(server, {
              connectedAtMs: endedAtMs,
              isNeeded: true,
              onConnection(socket) {
                // Requests may use it later.
                options.claims.recordConnection(server, socket);
                return endedAtMs;
              },
            });
      if (report.kind === 'told') {
        if (report.start.startedAtMs === startedAtMs) {
          return 'same-start';
        }
        // The process may have started before the connection was opened, and its entry may be late.
        const reported = options.claims.reportedStartOn(server, writer);
        return reported?.startedAtMs === report.start.startedAtMs &&
          endedAtMs - reported.toldAtMs >= END_MARGIN_MS
          ? 'reported-start'
          : 'other-start';
      }
      // An earlier probe that still runs would not do: the process may have ended since it began.
      const outcome = await options.connect(endpoint);
      metrics.increment('server_probes', { outcome });
      if (outcome === 'open' && report.kind !== 'failed') {
        return 'connection';
      }
      if (outcome === 'refused' || clock.monotonicMs() - endedAtMs >= MAX_CHECK_MS) {
        return outcome === 'open' ? 'no-report' : outcome;
      }
      await clock.sleep(CHECK_INTERVAL_MS);
    }
  }

  return {
    async confirmEnd(server, socket) {
      const evidence = await findEvidence(server, socket);
      const isConfirmed =
        evidence === 'same-start' || evidence === 'reported-start' || evidence === 'connection';
      metrics.increment('response_end_checks', { evidence });
      if (!isConfirmed) {
        const { id, startedAtMs } = server.registration;
        log.info('response-end-unconfirmed', { serverId: id, startedAtMs, evidence });
      }
      return isConfirmed;
    },
  };
}
