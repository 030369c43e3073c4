import type { ServerId } from '../ids/ServerId.js';

/** Speed of one engine as learned from this entry host's own requests. */
export interface ServerRate {
  readonly prefillMsPerToken: number;
  /** Time a request occupies a place in the batch. */
  readonly serviceMs: number;
  /** Share of the expected cache savings that was seen, from 0 to 1. */
  readonly cacheSavingsRatio: number;
}

export interface FirstTokenObservation {
  readonly serverId: ServerId;
  /** From dispatch to the first token. */
  readonly firstTokenMs: number;
  readonly promptTokens: number;
  /** Prompt tokens that were expected in the cache. */
  readonly cachedTokens: number;
  /** Queueing that was expected at dispatch. */
  readonly queueMs: number;
}

export interface ServerRates {
  rateOf(serverId: ServerId): ServerRate;
  observeFirstToken(observation: FirstTokenObservation): void;
  /** Records how long a request occupied a place in the batch. */
  observeCompletion(serverId: ServerId, serviceMs: number): void;
}

const INITIAL: ServerRate = { prefillMsPerToken: 0.05, serviceMs: 1_000, cacheSavingsRatio: 1 };
const WEIGHT_OF_NEW_SAMPLE = 0.1;
/** Shorter prompts are dominated by fixed costs and do not show the prefill rate. */
const MIN_PREFILL_SAMPLE_TOKENS = 512;
const MIN_CACHE_SAMPLE_TOKENS = 1_024;
/** With more expected queueing the prefill part of a first token is not visible. */
const MAX_QUEUE_MS_OF_SAMPLE = 20;
const MAX_CACHED_RATIO_OF_RATE_SAMPLE = 0.05;
const MAX_PREFILL_MS_PER_TOKEN = 10;
const MAX_SERVERS = 8_192;

const blend = (old: number, sample: number): number => old + WEIGHT_OF_NEW_SAMPLE * (sample - old);
const toRatio = (value: number): number => Math.min(1, Math.max(0, value));

/** Creates the learned rates. An unknown server is expected to behave like the region's average. */
export function createServerRates(initial: Partial<ServerRate> = {}): ServerRates {
  const rates = new Map<ServerId, ServerRate>();
  let average: ServerRate = { ...INITIAL, ...initial };

  const of = (serverId: ServerId): ServerRate =>
    rates.get(serverId) ?? { ...average, cacheSavingsRatio: INITIAL.cacheSavingsRatio };

  function change(serverId: ServerId, next: Partial<ServerRate>): void {
    const rate = { ...of(serverId), ...next };
    rates.delete(serverId);
    rates.set(serverId, rate);
    const [oldest] = rates.keys();
    if (rates.size > MAX_SERVERS && oldest !== undefined) {
      rates.delete(oldest);
    }
  }

  function learnPrefill(serverId: ServerId, sample: number): void {
    const bounded = Math.min(MAX_PREFILL_MS_PER_TOKEN, sample);
    const { prefillMsPerToken } = of(serverId);
    change(serverId, { prefillMsPerToken: blend(prefillMsPerToken, bounded) });
    average = { ...average, prefillMsPerToken: blend(average.prefillMsPerToken, bounded) };
  }

  /** Compares the saved prefill time with the one the index promised. */
  function learnCacheTrust(observation: FirstTokenObservation): void {
    const { serverId, promptTokens, cachedTokens, firstTokenMs } = observation;
    const { prefillMsPerToken, cacheSavingsRatio: cacheTrustRatio } = of(serverId);
    const savedMs = promptTokens * prefillMsPerToken - firstTokenMs;
    const seenRatio = toRatio(savedMs / (cachedTokens * prefillMsPerToken));
    change(serverId, { cacheSavingsRatio: blend(cacheTrustRatio, seenRatio) });
  }

  return {
    rateOf: of,
    observeFirstToken(observation) {
      const { serverId, firstTokenMs, promptTokens, cachedTokens, queueMs } = observation;
      if (queueMs > MAX_QUEUE_MS_OF_SAMPLE) {
        return;
      }
      if (cachedTokens <= promptTokens * MAX_CACHED_RATIO_OF_RATE_SAMPLE) {
        if (promptTokens >= MIN_PREFILL_SAMPLE_TOKENS) {
          learnPrefill(serverId, firstTokenMs / promptTokens);
        }
      } else if (cachedTokens >= MIN_CACHE_SAMPLE_TOKENS) {
        learnCacheTrust(observation);
      }
    },
    observeCompletion(serverId, serviceMs) {
      change(serverId, { serviceMs: blend(of(serverId).serviceMs, serviceMs) });
      average = { ...average, serviceMs: blend(average.serviceMs, serviceMs) };
    },
  };
}
