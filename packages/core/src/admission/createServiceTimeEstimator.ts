import type { ServerId } from '../ids/ServerId.js';
import type { Clock } from '../ports/Clock.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { ServiceTimeEstimate } from './ServiceTimeEstimate.js';
import type { ServiceTimeObservation } from './ServiceTimeObservation.js';

const WEIGHT_OF_NEW = 0.1;
const MAX_AGE_MS = 10_000;
const MAX_KEYS = 4_096;

interface Learned {
  msPerPromptToken: number;
  /** Mean absolute deviation of `msPerPromptToken`. */
  deviationMsPerPromptToken: number;
  msPerEvent: number;
  /** Events of an answer per token of the limit that the caller sent. */
  eventsPerLimitToken: number;
  observedAtMs: number;
}

export interface ServiceTimeEstimator {
  observe(observation: ServiceTimeObservation): void;
  /**
   * Mean over the servers that have answered requests of this model and rank lately; undefined
   * when there is none, so that a bad estimate cannot keep out the requests that would correct it.
   */
  estimate(
    request: InferenceRequest,
    serverIds: readonly ServerId[],
  ): ServiceTimeEstimate | undefined;
}

const blend = (old: number, value: number): number => old + WEIGHT_OF_NEW * (value - old);

const keyOf = (serverId: ServerId, { model, rank }: InferenceRequest): string =>
  `${serverId} ${rank} ${model}`;

/** Creates the estimator of service times, learned per server, model and rank. */
export function createServiceTimeEstimator(clock: Clock): ServiceTimeEstimator {
  const learned = new Map<string, Learned>();

  return {
    observe({ serverId, request, firstTokenMs, decodeMs, outputEvents }) {
      const key = keyOf(serverId, request);
      const seen = {
        msPerPromptToken: firstTokenMs / Math.max(1, request.promptTokens),
        deviationMsPerPromptToken: 0,
        msPerEvent: decodeMs / Math.max(1, outputEvents),
        eventsPerLimitToken: outputEvents / Math.max(1, request.maxOutputTokens),
        observedAtMs: clock.monotonicMs(),
      };
      const old = learned.get(key);
      learned.delete(key);
      learned.set(
        key,
        old === undefined
          ? seen
          : {
              msPerPromptToken: blend(old.msPerPromptToken, seen.msPerPromptToken),
              deviationMsPerPromptToken: blend(
                old.deviationMsPerPromptToken,
                Math.abs(seen.msPerPromptToken - old.msPerPromptToken),
              ),
              msPerEvent: blend(old.msPerEvent, seen.msPerEvent),
              eventsPerLimitToken: blend(old.eventsPerLimitToken, seen.eventsPerLimitToken),
              observedAtMs: seen.observedAtMs,
            },
      );
      if (learned.size > MAX_KEYS) {
        const [oldest] = learned.keys();
        learned.delete(oldest as string);
      }
    },
    estimate(request, serverIds) {
      const sinceMs = clock.monotonicMs() - MAX_AGE_MS;
      const known = serverIds
        .map((serverId) => learned.get(keyOf(serverId, request)))
        .filter((value): value is Learned => value !== undefined && value.observedAtMs >= sinceMs);
      if (known.length === 0) {
        return undefined;
      }
      const meanOf = (read: (value: Learned) => number): number =>
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
