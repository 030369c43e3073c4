import type { Clock, InferenceRequest } from '@camphorbarrow/core';
import type { SimulatedRequest } from '../fakes/SimulatedRequest.js';
import type { RequestRecord } from './RequestRecord.js';

/** Creates the input of the fake engines for a request; the callbacks update its record. */
export function createSimulatedRequest(
  clock: Clock,
  record: RequestRecord,
  request: InferenceRequest,
): SimulatedRequest {
  let lastTokenAtMs = 0;
  record.promptTokens = request.promptTokens;
  return {
    promptTokens: request.promptTokens,
    outputTokens: record.arrival.outputTokens,
    blockHashes: request.blockHashes,
    onAttempt: () => {
      record.attempts += 1;
    },
    onCacheLookup: (cachedTokens) => {
      record.lookedUpTokens += request.promptTokens;
      record.cachedTokens += cachedTokens;
    },
    onToken: (tokenIndex) => {
      if (tokenIndex > 0) {
        record.tokenGapsMs.push(clock.monotonicMs() - lastTokenAtMs);
      }
      lastTokenAtMs = clock.monotonicMs();
    },
  };
}
