import { callHost } from '@camphorbarrow/platform/testing';
import type { CallRecord } from './CallRecord.js';
import { checkArrivals } from './checkArrivals.js';
import { checkCalls } from './checkCalls.js';
import { checkCustomers } from './checkCustomers.js';
import { checkNotices } from './checkNotices.js';
import { checkSpans } from './checkSpans.js';
import { checkStranded } from './checkStranded.js';
import { checkStreams } from './checkStreams.js';
import { checkUnread, findPunctualCalls } from './checkUnread.js';
import type { ConnectionCall } from './ConnectionCall.js';
import { createFaultInjector } from './createFaultInjector.js';
import type { FaultInterval } from './FaultInterval.js';
import type { FaultKind, PlannedFault } from './PlannedFault.js';
import type { FaultGroup } from './planFaults.js';
import { planRun } from './planRun.js';
import { runBrittlePhase } from './runBrittlePhase.js';
import { sleep } from './sleep.js';
import { startCallers } from './startCallers.js';
import { HEADER_TIMEOUT_MS, startSoakSystem } from './startSoakSystem.js';
import type { StreamRecord } from './StreamRecord.js';
import { STREAM_EVENTS } from './versionedService.js';
import type { Violation } from './Violation.js';

/** Number of hosts, and of servers of the main service, in the system under test. */
const HOSTS = 3;
const START_TIMEOUT_MS = 15_000;
/** Time after the last fault until the system must serve again: the platform's `recovery_s`. */
const RECOVERY_MS = 12_000;
/** Time until all hosts must have adopted a configuration: the platform's `config_ms`. */
const CONFIGURATION_MS = 4_000;
/** The system has recovered when `RECOVERED_RATIO` of this many latest calls have succeeded. */
const RECOVERED_CALLS = 40;
const RECOVERED_RATIO = 0.95;
const POLL_MS = 50;
/** Time for which effects outlast a fault: connections are reopened, backoffs expire. */
const FAULT_EFFECT_MS = 3_000;

/** Faults of one host: of its process, or of its links to all servers. */
const HOST_FAULT = /^(host|stranded)-/;

/** Faults of the servers of several versions, which excuse nothing. */
const VERSION_FAULT = /^versions-/;

/** Changes by the operator which are no disturbance, so that they excuse nothing. */
const UNEXCUSED_KINDS: ReadonlySet<FaultKind> = new Set([
  'configuration-large',
  'idle-short',
  'idle-long',
]);

const PROGRAM = 'target/entry-host.cjs';

export interface SoakOptions {
  readonly seed: number;
  /** Time during which faults are injected; the run lasts some seconds longer. */
  readonly durationMs: number;
  /** Path of the Node.js program that runs the hosts; that of this process by default. */
  readonly nodePath?: string;
  /**
   * Built program of another version, which the hosts run at first. They are replaced one after the other
   * and back, and all run the current version in the end.
   */
  readonly previousProgram?: string;
  /** Built program of the hosts; that of this checkout by default. */
  readonly program?: string;
  /** Groups of faults that are injected; all by default. */
  readonly groups?: readonly FaultGroup[];
}

export interface SoakReport {
  readonly seed: number;
  readonly faults: readonly PlannedFault[];
  readonly violations: readonly Violation[];
  readonly calls: number;
  readonly served: number;
  /** Calls on connections that had been idle, which were sent in time. */
  readonly afterIdle: number;
  /** Servers that fell over because they had to reject too much. */
  readonly falls: number;
  /** Streams of callers that come back, with all their tries. */
  readonly streams: readonly StreamRecord[];
  /** Logs of the hosts, for diagnosing a violation. */
  readonly logs: readonly string[];
}

async function waitFor(
  condition: () => boolean | Promise<boolean>,
  timeoutMs: number,
): Promise<boolean> {
  const endMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endMs) {
      return false;
    }
    await sleep(POLL_MS);
  }
  return true;
}

/** Runs host processes under the faults of a seed and checks what callers and servers observe. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { seed, durationMs, nodePath = process.execPath, previousProgram, groups } = options;
  const { program: finalProgram = PROGRAM } = options;
  const programs = previousProgram === undefined ? [finalProgram] : [previousProgram, finalProgram];
  const faults = planRun({
    seed,
    durationMs,
    hostCount: HOSTS,
    replacesPrograms: previousProgram !== undefined,
    groups,
  });
  const violations: Violation[] = [];
  const calls: CallRecord[] = [];
  const idleCalls: ConnectionCall[] = [];
  const streams: StreamRecord[] = [];
  const faultIntervals: FaultInterval[] = [];
  const system = await startSoakSystem({
    nodePath,
    program: programs[0] ?? finalProgram,
    onUnexpectedExit: (detail) => violations.push({ promise: 'exit', detail }),
  });
  const applyFault = createFaultInjector(system, programs);
  const urls = system.hosts.map(({ url }) => url);

  async function fetchStatus(url: string, path: string): Promise<number | undefined> {
    const result = await callHost(url, path, { signal: AbortSignal.timeout(1_000) }).catch(
      () => undefined,
    );
    return result?.status;
  }

  async function inject(fault: PlannedFault): Promise<void> {
    const startedAtMs = performance.now();
    await applyFault(fault);
    const endedAtMs = performance.now();
    if (UNEXCUSED_KINDS.has(fault.kind) || VERSION_FAULT.test(fault.kind)) {
      return;
    }
    faultIntervals.push({
      kind: fault.kind,
      host: HOST_FAULT.test(fault.kind) ? fault.index : undefined,
      startedAtMs,
      endedAtMs,
      effectsEndAtMs: endedAtMs + FAULT_EFFECT_MS,
    });
  }

  const isServing = async (url: string): Promise<boolean> =>
    (await fetchStatus(url, '/safe/probe')) === 200;
  const stopCallers = new AbortController();
  let callers: Promise<void>[] = [];
  try {
    const started = await Promise.all(
      urls.map((url) => waitFor(() => isServing(url), START_TIMEOUT_MS)),
    );
    if (started.includes(false)) {
      violations.push({
        promise: 'recover',
        detail: 'not all hosts serve requests after their start',
      });
    }
    callers = startCallers({
      system,
      seed,
      isEarlierProgram: (program) => program !== finalProgram,
      onCall: (call) => calls.push(call),
      onIdleCall: (call) => idleCalls.push(call),
      onStream: (stream) => streams.push(stream),
      signal: stopCallers.signal,
    });
    const faultsStartedAtMs = performance.now();
    await Promise.all(
      faults.map(async (fault) => {
        await sleep(Math.max(0, faultsStartedAtMs + fault.atMs - performance.now()));
        await inject(fault);
      }),
    );
    for (const [index, host] of system.hosts.entries()) {
      if (host.program() !== finalProgram) {
        await inject({
          atMs: durationMs,
          forMs: 0,
          kind: 'host-stop',
          index,
          replacesProgram: true,
        });
      }
    }
    const hasRecovered = (): boolean => {
      const latestCalls = calls.filter(({ left }) => !left).slice(-RECOVERED_CALLS);
      const served = latestCalls.filter(({ status, complete }) => status === 200 && complete);
      return served.length >= RECOVERED_CALLS * RECOVERED_RATIO;
    };
    if (!(await waitFor(hasRecovered, RECOVERY_MS))) {
      violations.push({ promise: 'recover', detail: 'calls fail after the last fault' });
    }
    const version = system.putConfiguration({ routeNames: ['added'] });
    const adopted = await Promise.all(
      urls.map((url) =>
        waitFor(async () => (await fetchStatus(url, '/added/probe')) === 200, CONFIGURATION_MS),
      ),
    );
    adopted.forEach((hasAdopted, index) => {
      if (!hasAdopted) {
        violations.push({
          promise: 'config',
          detail: `host ${index} has not adopted version ${version}`,
        });
      }
    });
    if (groups === undefined || groups.includes('brittle')) {
      violations.push(
        ...(await runBrittlePhase({
          system,
          seed,
          otherCalls: () => [...calls, ...idleCalls],
          inject,
        })),
      );
    }
  } finally {
    stopCallers.abort();
    await Promise.all(callers);
    await system.close();
  }
  const arrivals = system.servers.arrivals();
  const logs = system.hosts.map((host) => host.output());
  const pausingRejections = system.servers.pausingRejections();
  const allCalls = [...calls, ...idleCalls];
  const unreadEvidence = {
    calls: idleCalls,
    idleTimeouts: system.idleTimeouts(),
    headerTimeoutMs: HEADER_TIMEOUT_MS,
    faultIntervals,
  };
  return {
    seed,
    faults,
    violations: [
      ...violations,
      ...checkCalls({ calls: allCalls, arrivals, faultIntervals }),
      ...checkArrivals({
        arrivals: [...arrivals, ...system.versionedServers.arrivals()],
        faultIntervals,
      }),
      ...checkCustomers({ calls: allCalls, arrivals }),
      ...checkStranded({ calls: allCalls, faultIntervals }),
      ...checkNotices({ calls: allCalls, arrivals, pausingRejections, faultIntervals }),
      ...checkUnread(unreadEvidence),
      ...checkStreams({
        streams,
        eventCount: STREAM_EVENTS,
        servingTimes: system.versionedServers.servingTimes(),
        faultIntervals,
      }),
      ...checkSpans(logs),
    ],
    calls: allCalls.length,
    served: allCalls.filter(({ status, complete }) => status === 200 && complete).length,
    afterIdle: findPunctualCalls(unreadEvidence).filter(({ reused }) => reused).length,
    falls: system.servers.falls().length,
    streams,
    logs,
  };
}
