import type { InferenceGateway } from '../gateway/createInferenceGateway.js';
import type { Clock } from '../ports/Clock.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { ServiceResult } from './ServiceResult.js';
import type { BurnCounters } from './createBurnCounters.js';
import { resultOfError } from './resultOfError.js';

interface StreamTimes {
  readonly firstAtMs: number;
  lastAtMs: number;
  events: number;
}

function resultOfStream(request: InferenceRequest, times: StreamTimes): ServiceResult {
  if (times.firstAtMs > request.firstTokenDueAtMs) {
    return 'late-first-token';
  }
  const betweenMs = (times.lastAtMs - times.firstAtMs) / Math.max(1, times.events - 1);
  const targetMs = request.settings.ranks[request.rank].betweenTokensTargetMs;
  return betweenMs > targetMs ? 'slow-tokens' : 'good';
}

/** Wraps a gateway so that the result of every request counts towards its rank's objective. */
export function recordInferenceResults(
  gateway: InferenceGateway,
  counters: BurnCounters,
  clock: Clock,
): InferenceGateway {
  async function* watch(
    request: InferenceRequest,
    events: AsyncIterable<string>,
    signal: AbortSignal,
  ): AsyncGenerator<string, void> {
    const nowMs = clock.monotonicMs();
    const times: StreamTimes = { firstAtMs: nowMs, lastAtMs: nowMs, events: 0 };
    let result: ServiceResult = 'incomplete';
    try {
      for await (const event of events) {
        times.lastAtMs = clock.monotonicMs();
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
        const answer = await gateway.handle(request, signal);
        if (answer.kind === 'stream') {
          return { kind: 'stream', events: watch(request, answer.events, signal) };
        }
        // A plain answer shows no first token; it is good when it came before the deadline.
        counters.record(request.rank, answer.statusCode < 500 ? 'good' : 'failed');
        return answer;
      } catch (error) {
        counters.record(request.rank, signal.aborted ? 'caller' : resultOfError(error));
        throw error;
      }
    },
  };
}
