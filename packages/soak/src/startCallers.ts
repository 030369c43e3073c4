import { createSeededRandom } from '@camphorbarrow/core';
import type { RandomSource } from '@camphorbarrow/core';
import type { CallRecord } from './CallRecord.js';
import type { ConnectionCall } from './ConnectionCall.js';
import { lowestIdleTimeoutMs } from './lowestIdleTimeoutMs.js';
import { runCaller } from './runCaller.js';
import { runIdleCaller } from './runIdleCaller.js';
import { runReturningCaller } from './runReturningCaller.js';
import { HEADER_TIMEOUT_MS } from './startSoakSystem.js';
import type { SoakSystem } from './startSoakSystem.js';
import type { StreamRecord } from './StreamRecord.js';
import { versionedService } from './versionedService.js';
import type { VersionedService } from './versionedService.js';

const CALLERS = 18;
/** Callers that keep one connection each, which is idle most of the time. */
const IDLE_CALLERS = 24;
/** Callers that come back for the rest of a stream that broke off. */
const RETURNING_CALLERS = 12;

/** Share of streams of a service while it is released. */
const RELEASED_RATIO = 0.7;

/** Each kind of callers has random numbers of its own. */
const IDLE_CALLER_SEED_OFFSET = 4_000_000;
const RETURNING_CALLER_SEED_OFFSET = 9_000_000;

export interface CallersOptions {
  readonly system: SoakSystem;
  readonly seed: number;
  readonly isEarlierProgram: (program: string) => boolean;
  readonly onCall: (call: CallRecord) => void;
  readonly onIdleCall: (call: ConnectionCall) => void;
  readonly onStream: (stream: StreamRecord) => void;
  /** Ends the callers after their current requests. */
  readonly signal: AbortSignal;
}

/** Starts the callers of a run; each promise resolves when its caller has ended. */
export function startCallers(options: CallersOptions): Promise<void>[] {
  const { system, seed, isEarlierProgram, onCall, onIdleCall, onStream, signal } = options;
  const urls = system.hosts.map(({ url }) => url);
  const idleTimeoutMs = (): number => {
    const nowMs = performance.now();
    return lowestIdleTimeoutMs(system.idleTimeouts(), { fromMs: nowMs, untilMs: nowMs });
  };
  const chooseService = (random: RandomSource): VersionedService => {
    const released = system.versionedServers.releasedService();
    return released !== undefined && random.next() < RELEASED_RATIO ? released : versionedService;
  };
  const idleCallers = Array.from({ length: IDLE_CALLERS }, (_, index) =>
    runIdleCaller({
      name: `k${index}`,
      random: createSeededRandom(IDLE_CALLER_SEED_OFFSET + seed * IDLE_CALLERS + index),
      host: index % urls.length,
      url: urls[index % urls.length] ?? '',
      idleTimeoutMs,
      headerTimeoutMs: HEADER_TIMEOUT_MS,
      onCall: onIdleCall,
      signal,
    }),
  );
  const busyCallers = Array.from({ length: CALLERS }, (_, index) =>
    runCaller({
      name: `c${index}`,
      random: createSeededRandom(seed * CALLERS + index),
      urls,
      onCall,
      signal,
    }),
  );
  const returningCallers = Array.from({ length: RETURNING_CALLERS }, (_, index) =>
    runReturningCaller({
      name: `r${index}`,
      random: createSeededRandom(RETURNING_CALLER_SEED_OFFSET + seed * RETURNING_CALLERS + index),
      urls,
      isEarlierHost: (host) => isEarlierProgram(system.hosts[host]?.runningProgram() ?? ''),
      chooseService,
      onStream,
      signal,
    }),
  );
  return [...idleCallers, ...busyCallers, ...returningCallers];
}
