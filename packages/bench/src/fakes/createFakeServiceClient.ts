import { ConnectFailedError, ProgressTimeoutError } from '@camphorbarrow/core';
import type { ServiceClient } from '@camphorbarrow/core';
import type { VirtualClock } from '../clock/VirtualClock.js';
import type { Workload } from '../workload/Workload.js';

/** Service client of fake ordering servers with a limited number of concurrent calls. */
export function createFakeServiceClient(options: {
  readonly clock: VirtualClock;
  readonly oneWayMs: number;
  readonly settings: Workload['ordering'];
  readonly isUp: (baseUrl: string) => boolean;
}): ServiceClient {
  const { clock, oneWayMs, settings } = options;
  /** Times at which the slots of each server become free. */
  const slotsByServer = new Map<string, number[]>();

  return {
    async call(call) {
      await clock.sleep(oneWayMs);
      if (!options.isUp(call.baseUrl)) {
        await clock.sleep(oneWayMs);
        throw new ConnectFailedError('The connection was refused.');
      }
      call.onBeforeSend();
      const slotFreeAtMs =
        slotsByServer.get(call.baseUrl) ?? new Array(settings.maxConcurrentCalls).fill(0);
      slotsByServer.set(call.baseUrl, slotFreeAtMs);
      const slot = slotFreeAtMs.indexOf(Math.min(...slotFreeAtMs));
      const nowMs = clock.monotonicMs();
      const endsAtMs = Math.max(nowMs, slotFreeAtMs[slot] ?? 0) + settings.serviceMs;
      slotFreeAtMs[slot] = endsAtMs;
      if (endsAtMs - nowMs > call.answerTimeoutMs) {
        await clock.sleep(call.answerTimeoutMs);
        throw new ProgressTimeoutError('The service did not respond in time.');
      }
      await clock.sleep(endsAtMs - nowMs + oneWayMs);
      return { statusCode: 200, contentType: 'application/json', body: '{}' };
    },
    close: async () => undefined,
  };
}
