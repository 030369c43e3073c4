import { createSeededRandom } from '@camphorbarrow/core';
import { callHost } from '@camphorbarrow/platform/testing';
import type { CallRecord } from './CallRecord.js';
import { checkArrivals } from './checkArrivals.js';
import { checkCalls } from './checkCalls.js';
import { createFaultInjector } from './createFaultInjector.js';
import type { FaultInterval } from './FaultInterval.js';
import type { PlannedFault } from './PlannedFault.js';
import { planFaults } from './planFaults.js';
import { runCaller } from './runCaller.js';
import { sleep } from './sleep.js';
import { startSoakSystem } from './startSoakSystem.js';
import type { Violation } from './Violation.js';

/** Hosts, and as many servers, of the system that is run. */
const HOSTS = 3;
const CALLERS = 6;
const START_TIMEOUT_MS = 15_000;
/** Time after faults in which the system must serve again: `recovery_s` of the sites. */
const RECOVERY_MS = 12_000;
/** Time in which a configuration must be in force: `config_ms` of the sites. */
const CONFIGURATION_MS = 4_000;
/** Calls in a row of which nearly all must succeed for the system to count as recovered. */
const RECOVERED_CALLS = 40;
const RECOVERED_RATIO = 0.95;
const POLL_MS = 50;
/** A fault is felt for a while after it ends: connections are made again, pauses run out. */
const AFTERMATH_MS = 3_000;
export interface SoakOptions {
  readonly seed: number;
  /** Time in which faults come; the run lasts some seconds longer. */
  readonly durationMs: number;
}

export interface SoakReport {
  readonly seed: number;
  readonly faults: readonly PlannedFault[];
  readonly violations: readonly Violation[];
  readonly calls: number;
  readonly served: number;
  /** Logs of the hosts, to trace a violation. */
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

/** Runs real host processes under the faults of a seed and checks what callers and servers see. */
export async function runSoak({ seed, durationMs }: SoakOptions): Promise<SoakReport> {
  const random = createSeededRandom(seed);
  const faults = planFaults(random, durationMs, HOSTS);
  const violations: Violation[] = [];
  const calls: CallRecord[] = [];
  const disturbances: FaultInterval[] = [];
  const system = await startSoakSystem((detail) => violations.push({ promise: 'exit', detail }));
  const injectInto = createFaultInjector(system);
  const urls = system.hosts.map(({ url }) => url);

  async function statusOf(url: string, path: string): Promise<number | undefined> {
    const result = await callHost(url, path, { signal: AbortSignal.timeout(1_000) }).catch(
      () => undefined,
    );
    return result?.status;
  }

  async function inject(fault: PlannedFault): Promise<void> {
    const fromMs = performance.now();
    await injectInto(fault);
    const endedAtMs = performance.now();
    disturbances.push({
      what: fault.kind,
      host: fault.kind.startsWith('host-') ? fault.index : undefined,
      fromMs,
      endedAtMs,
      toMs: endedAtMs + AFTERMATH_MS,
    });
  }

  const isServing = async (url: string): Promise<boolean> =>
    (await statusOf(url, '/safe/probe')) === 200;
  const end = new AbortController();
  let callers: Promise<void>[] = [];
  try {
    const started = await Promise.all(
      urls.map((url) => waitFor(() => isServing(url), START_TIMEOUT_MS)),
    );
    if (started.includes(false)) {
      violations.push({ promise: 'recover', detail: 'not all hosts serve after their start' });
    }
    callers = Array.from({ length: CALLERS }, (_, index) =>
      runCaller({
        name: `c${index}`,
        random: createSeededRandom(seed * CALLERS + index),
        urls,
        onCall: (call) => calls.push(call),
        signal: end.signal,
      }),
    );
    const beganMs = performance.now();
    await Promise.all(
      faults.map(async (fault) => {
        await sleep(Math.max(0, beganMs + fault.atMs - performance.now()));
        await inject(fault);
      }),
    );
    const hasRecovered = (): boolean => {
      const last = calls.slice(-RECOVERED_CALLS);
      const served = last.filter(({ status, complete }) => status === 200 && complete);
      return served.length >= RECOVERED_CALLS * RECOVERED_RATIO;
    };
    if (!(await waitFor(hasRecovered, RECOVERY_MS))) {
      violations.push({ promise: 'recover', detail: 'calls fail after the last fault' });
    }
    const version = system.putConfiguration('added');
    const inForce = await Promise.all(
      urls.map((url) =>
        waitFor(async () => (await statusOf(url, '/added/probe')) === 200, CONFIGURATION_MS),
      ),
    );
    inForce.forEach((isInForce, index) => {
      if (!isInForce) {
        violations.push({ promise: 'config', detail: `host ${index} lacks version ${version}` });
      }
    });
  } finally {
    end.abort();
    await Promise.all(callers);
    await system.close();
  }
  const arrivals = system.servers.arrivals();
  return {
    seed,
    faults,
    violations: [
      ...violations,
      ...checkCalls({ calls, arrivals, faultIntervals: disturbances }),
      ...checkArrivals({ arrivals, faultIntervals: disturbances }),
    ],
    calls: calls.length,
    served: calls.filter(({ status, complete }) => status === 200 && complete).length,
    logs: system.hosts.map((host) => host.output()),
  };
}
