import { LRUCache } from 'lru-cache';
import type { RequestMetadata } from '../model/RequestMetadata.js';
import type { Route } from '../model/Route.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';

/** Part of the largest output that a route is expected to use before any answer has ended. */
const UNTOLD_OUTPUT_RATIO = 0.5;
/** Weight of a new answer in the typical length of a route's answers. */
const SAMPLE_WEIGHT = 0.05;
/** Routes that are remembered. */
const MAX_ROUTES = 1_024;

/** What is known of a request before it runs. */
export interface OutputQuery {
  readonly route: Route;
  readonly service: ServiceSpec;
  readonly metadata: RequestMetadata;
}

/** Learned lengths of answers. */
export interface OutputLengthEstimator {
  /** Events that the answer is expected to have; 0 for services without streams of tokens. */
  expectedEvents(query: OutputQuery): number;
  /** Events that answers of the route usually have, whatever the caller says of this one. */
  typicalEvents(query: OutputQuery): number;
  /** An answer of the route ended after this many events. */
  recordResponse(route: Route, events: number): void;
}

/**
 * Creates the expectation of how long answers get. Callers' estimates are right in the median and
 * often far off, so an extreme one says more of the estimate than of the answer: the expectation
 * lies halfway, by ratio, between the estimate and what is typical of the route.
 */
export function createOutputLengthEstimator(): OutputLengthEstimator {
  /** Logarithm of the typical number of events. */
  const typicalLogs = new LRUCache<string, number>({ max: MAX_ROUTES });

  const mostEvents = ({ service, metadata: facts }: OutputQuery): number =>
    service.kvCapacityTokens === undefined ? 0 : facts.maxOutputTokens / service.tokensPerEvent;

  function typicalEvents(query: OutputQuery): number {
    const typicalLog = typicalLogs.get(query.route.name);
    const most = mostEvents(query);
    return typicalLog === undefined
      ? most * UNTOLD_OUTPUT_RATIO
      : Math.min(most, Math.exp(typicalLog));
  }

  return {
    typicalEvents,
    expectedEvents(query) {
      const { expectedOutputTokens } = query.metadata;
      if (expectedOutputTokens === undefined) {
        return typicalEvents(query);
      }
      const told = Math.max(1, expectedOutputTokens / query.service.tokensPerEvent);
      const typicalLog = typicalLogs.get(query.route.name);
      const events = typicalLog === undefined ? told : Math.sqrt(told * Math.exp(typicalLog));
      return Math.min(mostEvents(query), events);
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
