import type { Clock, LogSink, MetricsSink, RandomSource } from '@camphorbarrow/core';
import { createAcceptBacklog } from '../overload/createAcceptBacklog.js';
import type { AcceptBacklog } from '../overload/createAcceptBacklog.js';
import { createHostOverload } from '../overload/createHostOverload.js';
import type { HostOverload } from '../overload/createHostOverload.js';
import { createEventLoopMonitor } from './createEventLoopMonitor.js';
import type { EventLoopMonitor } from './createEventLoopMonitor.js';

export interface HostLoadMonitorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
}

/** Whether this host has the processor time for new requests. */
export interface HostLoadMonitor
  extends
    EventLoopMonitor,
    Pick<AcceptBacklog, 'recordAccept'>,
    Pick<HostOverload, 'admits' | 'admittedRatio'> {}

/** Starts to sample the load of this process, and logs when it begins and ceases to shed requests. */
export function createHostLoadMonitor(options: HostLoadMonitorOptions): HostLoadMonitor {
  const { clock, log, metrics } = options;
  const overload = createHostOverload(options.random);
  const backlog = createAcceptBacklog(clock);
  let shedsSinceMs: number | undefined;

  function sample(loopDelayMs: number): void {
    const acceptBacklogMs = backlog.ageMs();
    overload.recordDelay(loopDelayMs);
    metrics.timingMs('accept_backlog', acceptBacklogMs);
    metrics.gauge('admitted_ratio', overload.admittedRatio());
    const sheds = overload.admittedRatio() < 1;
    if (sheds && shedsSinceMs === undefined) {
      shedsSinceMs = clock.monotonicMs();
      log.warn('host-overloaded', {
        loopDelayMs: Math.round(loopDelayMs),
        acceptBacklogMs: Math.round(acceptBacklogMs),
      });
    } else if (!sheds && shedsSinceMs !== undefined) {
      log.info('host-overload-ended', {
        lastedMs: Math.round(clock.monotonicMs() - shedsSinceMs),
      });
      shedsSinceMs = undefined;
    }
  }

  return {
    ...createEventLoopMonitor(clock, log, metrics, sample),
    recordAccept: backlog.recordAccept,
    admits: overload.admits,
    admittedRatio: overload.admittedRatio,
  };
}
