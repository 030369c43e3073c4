import type { InferenceGateway } from '../gateway/createInferenceGateway.js';
import type { Clock } from '../ports/Clock.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { ServiceResult } from './ServiceResult.js';
import type { BurnCounters } from './createBurnCounters.js';
import { resultOfError } from './resultOfError.js';

interface StreamTimes {
  readonly firstEventAtMs: number;
  lastEventAtMs: number;
  events: number;
}

function resultOfStream(request: InferenceRequest, times: StreamTimes): ServiceResult {
  if (times.firstEventAtMs > request.firstTokenDueAtMs) {
    return 'late-first-token';
  }
  const betweenTokensMs =
    (times.lastEventAtMs - times.firstEventAtMs) / Math.max(1, times.events - 1);
  const targetMs = request.settings.ranks[request.rank].betweenTokensTargetMs;
  return betweenTokensMs > targetMs ? 'slow-tokens' : 'good';
}

/** Wraps a gateway so that the result of every request is counted for the objective of its rank. */
export function recordInferenceResults(
  gateway: InferenceGateway,
  counters: BurnCounters,
  clock: Clock,
): InferenceGateway {
  async function* recordStream(
    request: InferenceRequest,
    events: AsyncIterable<string>,
    signal: AbortSignal,
  ): AsyncGenerator<string, void> {
    const nowMs = clock.monotonicMs();
    const times: StreamTimes = { firstEventAtMs: nowMs, lastEventAtMs: nowMs, events: 0 };
    let result: ServiceResult = 'incomplete';
    try {
      for await (const event of events) {
        times.lastEventAtMs = clock.monotonicMs();
        times.events += 1;
        yield event;
      }
      result = resultOfStream(request, times);
    } finally {
      counters.record(request.rank, signal.aborted ? 'caller' : result);
    }
  }

  return {
    async handle(request, signal) {
      try {
        const response = await gateway.handle(request, signal);
        if (response.kind === 'stream') {
          return { kind: 'stream', events: recordStream(request, response.events, signal) };
        }
        // A plain response has no observable first token, so meeting the deadline is sufficient.
        counters.record(request.rank, response.statusCode < 500 ? 'good' : 'failed');
        return response;
      } catch (error) {
        counters.record(request.rank, signal.aborted ? 'caller' : resultOfError(error));
        throw error;
      }
    },
  };
}
