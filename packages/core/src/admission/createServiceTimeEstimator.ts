import type { ServerId } from '../ids/ServerId.js';
import type { Clock } from '../ports/Clock.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { ServiceTimeEstimate } from './ServiceTimeEstimate.js';
import type { ServiceTimeObservation } from './ServiceTimeObservation.js';

const SMOOTHING_FACTOR = 0.1;
const MAX_AGE_MS = 10_000;
const MAX_KEYS = 4_096;

interface ServiceTimes {
  msPerPromptToken: number;
  /** Mean absolute deviation of `msPerPromptToken`. */
  deviationMsPerPromptToken: number;
  msPerEvent: number;
  /** Events of a response per token of the output limit in the request. */
  eventsPerLimitToken: number;
  observedAtMs: number;
}

export interface ServiceTimeEstimator {
  observe(observation: ServiceTimeObservation): void;
  /**
   * Mean over the servers that recently completed requests of this model and rank, or undefined if
   * there is none. Estimates expire, because a wrong one could otherwise cause the rejection of
   * all the requests that would correct it.
   */
  estimate(
    request: InferenceRequest,
    serverIds: readonly ServerId[],
  ): ServiceTimeEstimate | undefined;
}

const smooth = (average: number, value: number): number =>
  average + SMOOTHING_FACTOR * (value - average);

const keyOf = (serverId: ServerId, { model, rank }: InferenceRequest): string =>
  `${serverId} ${rank} ${model}`;

/** Creates the estimator with exponential moving averages per server, model and rank. */
export function createServiceTimeEstimator(clock: Clock): ServiceTimeEstimator {
  const timesByKey = new Map<string, ServiceTimes>();

  return {
    observe({ serverId, request, firstTokenMs, decodeMs, outputEvents }) {
      const key = keyOf(serverId, request);
      const observed = {
        msPerPromptToken: firstTokenMs / Math.max(1, request.promptTokens),
        deviationMsPerPromptToken: 0,
        msPerEvent: decodeMs / Math.max(1, outputEvents),
        eventsPerLimitToken: outputEvents / Math.max(1, request.maxOutputTokens),
        observedAtMs: clock.monotonicMs(),
      };
      const previous = timesByKey.get(key);
      timesByKey.delete(key);
      timesByKey.set(
        key,
        previous === undefined
          ? observed
          : {
              msPerPromptToken: smooth(previous.msPerPromptToken, observed.msPerPromptToken),
              deviationMsPerPromptToken: smooth(
                previous.deviationMsPerPromptToken,
                Math.abs(observed.msPerPromptToken - previous.msPerPromptToken),
              ),
              msPerEvent: smooth(previous.msPerEvent, observed.msPerEvent),
              eventsPerLimitToken: smooth(
                previous.eventsPerLimitToken,
                observed.eventsPerLimitToken,
              ),
              observedAtMs: observed.observedAtMs,
            },
      );
      if (timesByKey.size > MAX_KEYS) {
        const [oldest] = timesByKey.keys();
        timesByKey.delete(oldest as string);
      }
    },
    estimate(request, serverIds) {
      const sinceMs = clock.monotonicMs() - MAX_AGE_MS;
      const known = serverIds
        .map((serverId) => timesByKey.get(keyOf(serverId, request)))
        .filter(
          (value): value is ServiceTimes => value !== undefined && value.observedAtMs >= sinceMs,
        );
      if (known.length === 0) {
        return undefined;
      }
      const meanOf = (read: (value: ServiceTimes) => number): number =>
        known.reduce((sum, value) => sum + read(value), 0) / known.length;
      const firstTokenMs = request.promptTokens * meanOf((value) => value.msPerPromptToken);
      const decodeMs =
        request.maxOutputTokens * meanOf((value) => value.eventsPerLimitToken * value.msPerEvent);
      return {
        firstTokenMs,
        firstTokenDeviationMs:
          request.promptTokens * meanOf((value) => value.deviationMsPerPromptToken),
        totalMs: firstTokenMs + decodeMs,
      };
    },
  };
}
