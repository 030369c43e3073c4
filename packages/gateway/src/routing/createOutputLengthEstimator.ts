import { LRUCache } from 'lru-cache';
import type { RequestMetadata } from '../model/RequestMetadata.js';
import type { Route } from '../model/Route.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';

/** Part of the maximum output length that is expected before a route has samples. */
const DEFAULT_OUTPUT_RATIO = 0.5;
/** Weight of a new sample in the typical output length of a route. */
const SAMPLE_WEIGHT = 0.05;
/** Maximum number of routes with stored samples. */
const MAX_ROUTES = 1_024;

/** Request whose output length is to be estimated. */
export interface OutputQuery {
  readonly route: Route;
  readonly service: ServiceSpec;
  readonly metadata: RequestMetadata;
}

/** Estimates the output length of requests from earlier responses of the route. */
export interface OutputLengthEstimator {
  /** Expected number of events in the response; 0 for services that are not models. */
  expectedEvents(query: OutputQuery): number;
  /** Typical number of events for the route, regardless of the caller's estimate. */
  typicalEvents(query: OutputQuery): number;
  /** Records the number of events of a completed response. */
  recordResponse(route: Route, events: number): void;
}

/**
 * Creates an estimator. Callers' estimates are correct in the median but have large outliers, so an
 * extreme estimate is more likely to be wrong than the response to be that long. The result is
 * therefore the geometric mean of the caller's estimate and the typical length for the route.
 */
export function createOutputLengthEstimator(): OutputLengthEstimator {
  /** Logarithm of the typical number of events, by route name. */
  const typicalLogs = new LRUCache<string, number>({ max: MAX_ROUTES });

  const maxEvents = ({ service, metadata }: OutputQuery): number =>
    service.kvCapacityTokens === undefined ? 0 : metadata.maxOutputTokens / service.tokensPerEvent;

  function typicalEvents(query: OutputQuery): number {
    const typicalLog = typicalLogs.get(query.route.name);
    const maximum = maxEvents(query);
    return typicalLog === undefined
      ? maximum * DEFAULT_OUTPUT_RATIO
      : Math.min(maximum, Math.exp(typicalLog));
  }

  return {
    typicalEvents,
    expectedEvents(query) {
      const { expectedOutputTokens } = query.metadata;
      if (expectedOutputTokens === undefined) {
        return typicalEvents(query);
      }
      const estimated = Math.max(1, expectedOutputTokens / query.service.tokensPerEvent);
      const typicalLog = typicalLogs.get(query.route.name);
      const events =
        typicalLog === undefined ? estimated : Math.sqrt(estimated * Math.exp(typicalLog));
      return Math.min(maxEvents(query), events);
    },
    recordResponse(route, events) {
      if (events > 0) {
        const sample = Math.log(events);
        const current = typicalLogs.get(route.name) ?? sample;
        typicalLogs.set(route.name, current + SAMPLE_WEIGHT * (sample - current));
      }
    },
  };
}
