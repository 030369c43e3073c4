import type { ServerId } from '../ids/ServerId.js';

/** Speed of an engine as learned from this entry host's own requests. */
export interface ServerRate {
  readonly prefillMsPerToken: number;
  /** Time a request occupies a batch slot. */
  readonly serviceMs: number;
  /** Observed share of the expected prefill savings by the prefix cache, from 0 to 1. */
  readonly cacheSavingsRatio: number;
}

export interface FirstTokenObservation {
  readonly serverId: ServerId;
  /** Time from dispatch to the first token. */
  readonly firstTokenMs: number;
  readonly promptTokens: number;
  /** Prompt tokens that were expected in the prefix cache at dispatch. */
  readonly cachedTokens: number;
  /** Queueing time that was expected at dispatch. */
  readonly queueMs: number;
}

export interface ServerRates {
  rateOf(serverId: ServerId): ServerRate;
  observeFirstToken(observation: FirstTokenObservation): void;
  /** Records how long a completed request occupied a batch slot. */
  observeCompletion(serverId: ServerId, serviceMs: number): void;
}

const INITIAL_RATE: ServerRate = {
  prefillMsPerToken: 0.05,
  serviceMs: 1_000,
  cacheSavingsRatio: 1,
};
const SAMPLE_WEIGHT = 0.1;
/** For shorter prompts, fixed costs dominate the time to the first token. */
const MIN_PREFILL_SAMPLE_TOKENS = 512;
const MIN_CACHE_SAMPLE_TOKENS = 1_024;
/**
 * With more expected queueing, the prefill share of the time to the first token is not measurable.
 */
const MAX_SAMPLE_QUEUE_MS = 20;
const MAX_PREFILL_SAMPLE_CACHED_RATIO = 0.05;
const MAX_PREFILL_MS_PER_TOKEN = 10;
const MAX_SERVERS = 8_192;

const updateAverage = (old: number, sample: number): number => old + SAMPLE_WEIGHT * (sample - old);
const toRatio = (value: number): number => Math.min(1, Math.max(0, value));

/**
 * Creates the learned rates. A server without observations gets the average prefill and service
 * times of all servers, and a cache savings ratio of 1.
 */
export function createServerRates(initial: Partial<ServerRate> = {}): ServerRates {
  const rates = new Map<ServerId, ServerRate>();
  let average: ServerRate = { ...INITIAL_RATE, ...initial };

  const rateOf = (serverId: ServerId): ServerRate =>
    rates.get(serverId) ?? { ...average, cacheSavingsRatio: INITIAL_RATE.cacheSavingsRatio };

  function updateRate(serverId: ServerId, next: Partial<ServerRate>): void {
    const rate = { ...rateOf(serverId), ...next };
    rates.delete(serverId);
    rates.set(serverId, rate);
    const [oldest] = rates.keys();
    if (rates.size > MAX_SERVERS && oldest !== undefined) {
      rates.delete(oldest);
    }
  }

  function updatePrefillRate(serverId: ServerId, sample: number): void {
    const bounded = Math.min(MAX_PREFILL_MS_PER_TOKEN, sample);
    const { prefillMsPerToken } = rateOf(serverId);
    updateRate(serverId, { prefillMsPerToken: updateAverage(prefillMsPerToken, bounded) });
    average = { ...average, prefillMsPerToken: updateAverage(average.prefillMsPerToken, bounded) };
  }

  /** Compares the observed prefill savings with those expected from the prefix index. */
  function updateCacheSavings(observation: FirstTokenObservation): void {
    const { serverId, promptTokens, cachedTokens, firstTokenMs } = observation;
    const { prefillMsPerToken, cacheSavingsRatio } = rateOf(serverId);
    const savedMs = promptTokens * prefillMsPerToken - firstTokenMs;
    const observedRatio = toRatio(savedMs / (cachedTokens * prefillMsPerToken));
    updateRate(serverId, { cacheSavingsRatio: updateAverage(cacheSavingsRatio, observedRatio) });
  }

  return {
    rateOf,
    observeFirstToken(observation) {
      const { serverId, firstTokenMs, promptTokens, cachedTokens, queueMs } = observation;
      if (queueMs > MAX_SAMPLE_QUEUE_MS) {
        return;
      }
      if (cachedTokens <= promptTokens * MAX_PREFILL_SAMPLE_CACHED_RATIO) {
        if (promptTokens >= MIN_PREFILL_SAMPLE_TOKENS) {
          updatePrefillRate(serverId, firstTokenMs / promptTokens);
        }
      } else if (cachedTokens >= MIN_CACHE_SAMPLE_TOKENS) {
        updateCacheSavings(observation);
      }
    },
    observeCompletion(serverId, serviceMs) {
      updateRate(serverId, { serviceMs: updateAverage(rateOf(serverId).serviceMs, serviceMs) });
      average = { ...average, serviceMs: updateAverage(average.serviceMs, serviceMs) };
    },
  };
}
