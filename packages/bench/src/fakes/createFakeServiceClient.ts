import { ConnectFailedError, ProgressTimeoutError } from '@camphorbarrow/core';
import type { ServiceClient } from '@camphorbarrow/core';
import type { VirtualClock } from '../clock/VirtualClock.js';
import type { Workload } from '../workload/Workload.js';

/** Service port over fake ordering servers that serve a bounded number of calls at a time. */
export function createFakeServiceClient(options: {
  readonly clock: VirtualClock;
  readonly oneWayMs: number;
  readonly settings: Workload['ordering'];
  readonly isUp: (baseUrl: string) => boolean;
}): ServiceClient {
  const { clock, oneWayMs, settings } = options;
  /** Times at which each server's places become free. */
  const places = new Map<string, number[]>();

  return {
    async call(call) {
      await clock.sleep(oneWayMs);
      if (!options.isUp(call.baseUrl)) {
        await clock.sleep(oneWayMs);
        throw new ConnectFailedError('The connection was refused.');
      }
      call.onBeforeSend();
      const free = places.get(call.baseUrl) ?? new Array(settings.maxConcurrentCalls).fill(0);
      places.set(call.baseUrl, free);
      const place = free.indexOf(Math.min(...free));
      const nowMs = clock.monotonicMs();
      const endsAtMs = Math.max(nowMs, free[place] ?? 0) + settings.serviceMs;
      free[place] = endsAtMs;
      if (endsAtMs - nowMs > call.answerTimeoutMs) {
        await clock.sleep(call.answerTimeoutMs);
        throw new ProgressTimeoutError('The service did not answer in time.');
      }
      await clock.sleep(endsAtMs - nowMs + oneWayMs);
      return { statusCode: 200, contentType: 'application/json', body: '{}' };
    },
    close: async () => undefined,
  };
}
