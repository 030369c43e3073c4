import { callHost } from '@camphorbarrow/platform/testing';
import type { CallRecord } from './CallRecord.js';
import { checkFalls } from './checkFalls.js';
import type { PlannedFault } from './PlannedFault.js';
import { sleep } from './sleep.js';
import type { SoakSystem } from './startSoakSystem.js';
import type { Violation } from './Violation.js';

/** Time from the first notice until servers let nothing wait: the platform's `contact_ms`. */
const NOTICE_MS = 6_000;
const OVERLOAD_MS = 4_000;
/** Slots of each server, as in its entry. */
const SLOTS = 8;
const SERVICE_TIME_MS = 300;
const CALLERS_PER_HOST = 12;
/** Pause of a caller after a rejection; it disregards the retry delay. */
const CALLER_PAUSE_MS = 100;
const DISTURBED_AT_MS = 1_000;
const DISTURBED_FOR_MS = 1_000;
const MAX_REJECTIONS = 4;

export interface BrittlePhaseOptions {
  readonly system: SoakSystem;
  readonly seed: number;
  /** Calls of the other callers, which go on meanwhile. */
  readonly otherCalls: () => readonly Pick<CallRecord, 'attemptId' | 'host'>[];
  /** Injects a fault and resolves when it has ended. */
  readonly inject: (fault: PlannedFault) => Promise<void>;
}

/**
 * Lets all servers say that they bear few rejections, and callers send more than they have room for.
 * One host is killed or paused meanwhile; the others must keep the servers from falling over.
 */
export async function runBrittlePhase(options: BrittlePhaseOptions): Promise<Violation[]> {
  const { system, seed, inject } = options;
  const { servers, hosts } = system;
  const maxRejectionsPerSecond = 1 + (seed % MAX_REJECTIONS);
  const disturbedHost = seed % hosts.length;
  const earlierFalls = servers.falls().length;
  const hostsOfCalls = new Map<string, number>();
  const stop = new AbortController();

  async function call(name: string, host: number): Promise<void> {
    for (let count = 1; !stop.signal.aborted; count += 1) {
      const attemptId = `${name}-${count}`;
      hostsOfCalls.set(attemptId, host);
      const status = await callHost(hosts[host]?.url ?? '', `/safe/${attemptId}`, {
        attemptId,
      }).then(
        (result) => result.status,
        () => undefined,
      );
      if (status !== 200) {
        await sleep(CALLER_PAUSE_MS);
      }
    }
  }

  servers.setFragility({ maxRejectionsPerSecond, slots: Infinity });
  await sleep(NOTICE_MS);
  servers.setFragility({ maxRejectionsPerSecond, slots: SLOTS });
  servers.setDelayMs(SERVICE_TIME_MS);
  const callers = hosts.flatMap((_, host) =>
    Array.from({ length: CALLERS_PER_HOST }, (__, index) => call(`b${host}-${index}`, host)),
  );
  await Promise.all([
    sleep(OVERLOAD_MS),
    sleep(DISTURBED_AT_MS).then(() =>
      inject({
        atMs: DISTURBED_AT_MS,
        forMs: DISTURBED_FOR_MS,
        kind: seed % 2 === 0 ? 'host-kill' : 'host-pause',
        index: disturbedHost,
      }),
    ),
  ]);
  stop.abort();
  await Promise.all(callers);
  servers.setFragility(undefined);
  servers.setDelayMs(0);
  options.otherCalls().forEach(({ attemptId, host }) => hostsOfCalls.set(attemptId, host));
  return checkFalls({
    falls: servers.falls().slice(earlierFalls),
    serverCount: hosts.length,
    hostOf: (attemptId) => hostsOfCalls.get(attemptId),
    disturbedHost,
  });
}
