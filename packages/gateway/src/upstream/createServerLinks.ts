import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';
import type { Endpoint } from '../model/Endpoint.js';
import type { ServerState } from '../model/ServerState.js';
import { createCutRecord } from './createCutRecord.js';
import { createWitnessSearch } from './createWitnessSearch.js';
import { hasFailed } from './ServerLink.js';
import type { LinkVerdict, ServerLink } from './ServerLink.js';
import { sleepWhileReading } from './sleepWhileReading.js';
import type { ConnectOutcome } from './tryConnect.js';

/** Pause before a server is probed again after a failure; doubles with each further one. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;
const PROBE_INTERVAL_MS = 100;
const MAX_PROBES = 16;
/** Time after which other servers are probed together with the one that has failed. */
const SLOW_PROBE_MS = 60;

type FailureCause = Exclude<ConnectOutcome, 'open'>;

export interface LinkLoss {
  /** Monotonic time since which the server was out of reach. */
  readonly failedAtMs: number;
  /** Whether this host reached no other server either. */
  readonly wasCutOff: boolean;
}

export interface ServerLinksOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  /** Servers of this host's region that the store lists. */
  readonly servers: () => readonly ServerState[];
  /** Opens a connection and closes it again without a request. */
  readonly connect: (endpoint: Endpoint) => Promise<ConnectOutcome>;
  /** Whether a connection to the server is open that no request uses. */
  readonly hasIdleConnection: (server: ServerState) => boolean;
  /** Called when a server that was out of reach is used again: its process may have started anew. */
  readonly onRestored: (server: ServerState, loss: LinkLoss) => void;
}

/** Which servers of its region this host reaches, by its own connections to them. */
export interface ServerLinks {
  /**
   * Records that a connection could not be established.
   *
   * @param isRefused whether no process listens, as far as the network tells
   */
  recordFailure(server: ServerState, isRefused?: boolean): Promise<LinkVerdict>;
  /**
   * Finds out whether this host still reaches a server that stayed silent or broke a connection.
   *
   * @param maxAgeMs age up to which an earlier probe is sufficient
   */
  check(server: ServerState, maxAgeMs?: number): Promise<LinkVerdict>;
  /** Records that a response of the server arrived, on any connection. */
  recordResponse(server: ServerState): void;
  /** Whether new connections to the server may be opened, as far as this host knows. */
  isOpen(server: ServerState): boolean;
  /**
   * Whether a request can be sent to the server now: on a new connection, or on one that has stayed
   * open while new ones are refused.
   */
  canSend(server: ServerState): boolean;
  /** Whether this host reaches none of the servers by new connections, and has tried. */
  isCutOff(): boolean;
  /** Whether it has reached none at some time since this monotonic time. */
  wasCutOffSince(atMs: number): boolean;
  /** Drops the records of all other incarnations. */
  retain(incarnations: ReadonlySet<string>): void;
  /** Ends the probes. */
  close(): void;
}

/**
 * Creates the record; a server that was never tried counts as reachable unless this host is cut off.
 * Failed servers are tried again by connections without a request.
 */
export function createServerLinks(options: ServerLinksOptions): ServerLinks {
  const { clock, log, metrics } = options;
  const closing = new AbortController();
  const links = new Map<string, ServerLink>();
  let lastCause: FailureCause | undefined;
  let runningProbes = 0;
  let isProbing = false;

  function linkTo(server: ServerState): ServerLink {
    const link = links.get(server.incarnation) ?? {
      server,
      failedAtMs: undefined,
      connectedAtMs: -Infinity,
      respondedAtMs: -Infinity,
      backoffMs: INITIAL_BACKOFF_MS,
      nextProbeAtMs: -Infinity,
      failedAlone: false,
      failureCause: undefined,
      probe: undefined,
      verdict: undefined,
    };
    links.set(server.incarnation, link);
    return link;
  }

  const listedLinks = (): readonly ServerLink[] => options.servers().map(linkTo);
  const describe = ({ server: { registration } }: ServerLink) => ({
    serverId: registration.id,
    service: registration.service,
  });

  function restore(link: ServerLink, wasCutOff: boolean): void {
    if (link.failedAtMs !== undefined) {
      options.onRestored(link.server, { failedAtMs: link.failedAtMs, wasCutOff });
      link.failedAtMs = undefined;
      link.failedAlone = false;
    }
  }

  const cut = createCutRecord({
    clock,
    log,
    metrics,
    restore: (link) => restore(link, true),
  });

  function recordOpen(link: ServerLink): void {
    const nowMs = clock.monotonicMs();
    link.connectedAtMs = nowMs;
    if (link.failedAtMs !== undefined) {
      const tookMs = Math.round(nowMs - link.failedAtMs);
      log.info('server-link-restored', { ...describe(link), tookMs });
      restore(link, cut.sinceMs() !== undefined && !link.failedAlone);
    }
    cut.end(listedLinks());
  }

  function recordFailed(link: ServerLink, cause: FailureCause): void {
    const nowMs = clock.monotonicMs();
    lastCause = cause;
    link.failureCause = cause;
    link.backoffMs =
      nowMs - link.nextProbeAtMs > MAX_BACKOFF_MS
        ? INITIAL_BACKOFF_MS
        : Math.min(MAX_BACKOFF_MS, link.backoffMs * 2);
    link.nextProbeAtMs = nowMs + link.backoffMs;
    if (link.failedAtMs === undefined) {
      link.failedAtMs = nowMs;
      log.warn('server-link-failed', { ...describe(link), cause });
      metrics.increment('server_link_failures', { cause });
      const listed = listedLinks();
      if (listed.length > 0 && listed.every(hasFailed)) {
        cut.begin(listed);
      }
    }
  }

  function probe(link: ServerLink): Promise<ConnectOutcome> {
    if (link.probe === undefined) {
      const startedAtMs = clock.monotonicMs();
      runningProbes += 1;
      link.probe = options.connect(link.server.registration.endpoint).then((outcome) => {
        runningProbes -= 1;
        link.probe = undefined;
        metrics.increment('server_probes', { outcome });
        if (!closing.signal.aborted && links.get(link.server.incarnation) === link) {
          if (outcome === 'open') {
            recordOpen(link);
          } else if (startedAtMs >= cut.endedAtMs()) {
            recordFailed(link, outcome);
          }
        }
        return outcome;
      });
    }
    return link.probe;
  }

  /** Servers that have to be probed: failed ones and, while this host is cut off, all. */
  const missingLinks = (): readonly ServerLink[] =>
    listedLinks().filter((link) => hasFailed(link) || cut.sinceMs() !== undefined);

  function startDueProbes(): void {
    const nowMs = clock.monotonicMs();
    missingLinks()
      .filter((link) => link.probe === undefined && link.nextProbeAtMs <= nowMs)
      .sort((a, b) => a.nextProbeAtMs - b.nextProbeAtMs)
      .slice(0, Math.max(0, MAX_PROBES - runningProbes))
      .forEach(probe);
  }

  async function runProbes(): Promise<void> {
    if (isProbing) {
      return;
    }
    isProbing = true;
    while (!closing.signal.aborted && missingLinks().length > 0) {
      startDueProbes();
      await clock.sleep(PROBE_INTERVAL_MS, closing.signal).catch(() => undefined);
    }
    isProbing = false;
  }

  const witnesses = createWitnessSearch({
    clock,
    links: listedLinks,
    probe,
    cutOffSinceMs: cut.sinceMs,
    signal: closing.signal,
  });

  async function judge(
    link: ServerLink,
    tryServer: () => Promise<ConnectOutcome>,
  ): Promise<LinkVerdict> {
    const sinceMs = clock.monotonicMs();
    const trial = tryServer();
    const delay = sleepWhileReading(clock, SLOW_PROBE_MS, closing.signal);
    if ((await Promise.race([trial, delay])) === 'open') {
      return 'open';
    }
    const [outcome, reachesOther] = await Promise.all([
      trial,
      witnesses.reachesOther(link, sinceMs),
    ]);
    if (outcome === 'open') {
      return 'open';
    }
    void runProbes();
    if (reachesOther) {
      link.failedAlone = true;
      return outcome === 'refused' ? 'refused' : 'failed';
    }
    // Probes that began before the links were back say nothing about them.
    if (sinceMs >= cut.endedAtMs()) {
      cut.begin(listedLinks());
    }
    return 'cut-off';
  }

  /** Failures of a server at the same time have one reason. */
  function findVerdict(
    link: ServerLink,
    tryServer: () => Promise<ConnectOutcome>,
  ): Promise<LinkVerdict> {
    link.verdict ??= judge(link, tryServer).finally(() => {
      link.verdict = undefined;
    });
    return link.verdict;
  }

  function isOpen(server: ServerState): boolean {
    const link = links.get(server.incarnation);
    return (
      cut.sinceMs() === undefined &&
      (link === undefined || !hasFailed(link)) &&
      !witnesses.isInDoubt()
    );
  }

  /** Open connections hang where new ones hang, and are known to be gone where they were reset. */
  function canReuse(server: ServerState): boolean {
    const cause = links.get(server.incarnation)?.failureCause ?? lastCause;
    return cause !== 'timeout' && !witnesses.isInDoubt() && options.hasIdleConnection(server);
  }

  return {
    recordFailure(server, isRefused = false) {
      const link = linkTo(server);
      const outcome = isRefused ? 'refused' : 'timeout';
      recordFailed(link, outcome);
      return findVerdict(link, async () => outcome);
    },
    check(server, maxAgeMs = 0) {
      const link = linkTo(server);
      return !hasFailed(link) && clock.monotonicMs() - link.connectedAtMs < maxAgeMs
        ? Promise.resolve('open')
        : findVerdict(link, () => probe(link));
    },
    recordResponse(server) {
      linkTo(server).respondedAtMs = clock.monotonicMs();
    },
    isOpen,
    canSend: (server) => isOpen(server) || canReuse(server),
    wasCutOffSince: (atMs) => cut.sinceMs() !== undefined || cut.endedAtMs() >= atMs,
    isCutOff: () => cut.sinceMs() !== undefined,
    retain(incarnations) {
      [...links.keys()]
        .filter((incarnation) => !incarnations.has(incarnation))
        .forEach((incarnation) => links.delete(incarnation));
      const listed = listedLinks();
      if (listed.length === 0) {
        cut.end(listed);
      } else if (listed.every(hasFailed)) {
        cut.begin(listed);
      }
      metrics.gauge('server_links_failed', listed.filter(hasFailed).length);
      void runProbes();
    },
    close: () => closing.abort(),
  };
}
