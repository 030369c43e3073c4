import type { Socket } from 'node:net';
import type { Clock, LogSink, RegionId } from '@camphorbarrow/core';
import type { ServerState } from '../model/ServerState.js';
import type { ServerReports } from '../ports/ServerReports.js';

/** Longest wait for a report; a server that runs sends it at once. */
const REPORT_TIMEOUT_MS = 400;
/** Time after a report that failed within which the server is asked only for what cannot wait. */
const FAILURE_PAUSE_MS = 500;

export interface ServerStartsOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  /** Region of this host, whose servers it can ask. */
  readonly region: RegionId;
  readonly reports: ServerReports;
  /** Whether the server may get calls that serve no caller. */
  readonly mayAsk: (server: ServerState) => boolean;
  /**
   * Whether a server may get one that a stream waits for, beside the requests of callers; counts it as
   * one of them.
   */
  readonly takeTurn: (server: ServerState) => boolean;
}

export interface StartQuery {
  /** Monotonic time of the connection in question; a call after it tells its process. */
  readonly connectedAtMs: number;
  /** Whether a stream waits for the report. */
  readonly isNeeded: boolean;
  /** Called with the connection of the call; returns the monotonic time at which it was opened. */
  readonly onConnection: (socket: Socket) => number;
}

/** Start that a server has reported. */
export interface ServerStart {
  /** Process start in ms since the Unix epoch. */
  readonly startedAtMs: number;
  /** Monotonic time before the server got the call. */
  readonly askedAtMs: number;
}

/** What became of a question for a server's start. */
export type StartReport =
  | { readonly kind: 'told'; readonly start: ServerStart }
  /** The server responds, but does not tell its start. */
  | { readonly kind: 'untold' }
  | { readonly kind: 'failed' }
  /** The server may not be asked now. */
  | { readonly kind: 'not-asked' };

/** When the processes of servers started, by their own reports. */
export interface ServerStarts {
  /** Asks a server. Never rejects. */
  ask(server: ServerState, query: StartQuery): Promise<StartReport>;
  /** Asks a server; resolves with undefined unless it tells its start. Never rejects. */
  read(server: ServerState, query: StartQuery): Promise<ServerStart | undefined>;
  /** Whether the server has reported another start than its entry names. */
  isReplaced(server: ServerState): boolean;
  /** Drops the records of all other incarnations. */
  retain(incarnations: ReadonlySet<string>): void;
}

interface ReportCall {
  askedAtMs: number;
  readonly report: Promise<StartReport>;
}

interface ServerRecord {
  call: ReportCall | undefined;
  failedAtMs: number;
  startedAtMs: number | undefined;
}

/**
 * Creates the readings of one host. A call that runs answers all queries on connections from before it;
 * one on a later connection takes a call of its own.
 */
export function createServerStarts(options: ServerStartsOptions): ServerStarts {
  const { clock, log, reports } = options;
  const records = new Map<string, ServerRecord>();

  function recordOf({ incarnation }: ServerState): ServerRecord {
    const record = records.get(incarnation) ?? {
      call: undefined,
      failedAtMs: -Infinity,
      startedAtMs: undefined,
    };
    records.set(incarnation, record);
    return record;
  }

  async function readReport(
    server: ServerState,
    record: ServerRecord,
    { onConnection }: StartQuery,
  ): Promise<StartReport> {
    let askedAtMs = clock.monotonicMs();
    try {
      const startedAtMs = await reports.readStartTime(server, {
        timeoutMs: REPORT_TIMEOUT_MS,
        onConnection(socket) {
          // The process that gets the call accepted this connection.
          askedAtMs = Math.max(askedAtMs, onConnection(socket));
        },
      });
      record.startedAtMs = startedAtMs;
      if (startedAtMs === undefined) {
        record.failedAtMs = clock.monotonicMs();
        return { kind: 'untold' };
      }
      return { kind: 'told', start: { startedAtMs, askedAtMs } };
    } catch (error) {
      record.failedAtMs = clock.monotonicMs();
      const { id } = server.registration;
      log.info('server-report-failed', { serverId: id, reason: (error as Error).message });
      return { kind: 'failed' };
    } finally {
      record.call = undefined;
    }
  }

  function canAsk(server: ServerState, record: ServerRecord, isNeeded: boolean): boolean {
    if (server.region !== options.region) {
      return false;
    }
    return isNeeded
      ? options.mayAsk(server) || options.takeTurn(server)
      : options.mayAsk(server) && clock.monotonicMs() - record.failedAtMs >= FAILURE_PAUSE_MS;
  }

  async function ask(server: ServerState, query: StartQuery): Promise<StartReport> {
    const record = recordOf(server);
    if (record.call !== undefined && record.call.askedAtMs >= query.connectedAtMs) {
      return record.call.report;
    }
    if (!canAsk(server, record, query.isNeeded)) {
      return { kind: 'not-asked' };
    }
    const report = readReport(server, record, query);
    record.call = { askedAtMs: clock.monotonicMs(), report };
    return report;
  }

  return {
    ask,
    async read(server, query) {
      const report = await ask(server, query);
      return report.kind === 'told' ? report.start : undefined;
    },
    isReplaced: (server) => {
      const startedAtMs = records.get(server.incarnation)?.startedAtMs;
      return startedAtMs !== undefined && startedAtMs !== server.registration.startedAtMs;
    },
    retain(incarnations) {
      [...records.keys()]
        .filter((incarnation) => !incarnations.has(incarnation))
        .forEach((incarnation) => records.delete(incarnation));
    },
  };
}
