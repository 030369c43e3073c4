import {
  createCacheEventPoller,
  createFirstTokenChooser,
  createFirstTokenEstimator,
  createPrefixIndex,
  createRouteObserver,
  createServerRates,
  createWaitCorrection,
} from '@camphorbarrow/core';
import type {
  Clock,
  EngineClient,
  FirstTokenEstimator,
  LogSink,
  PrefixIndex,
  RouteObserver,
  ServerRegistry,
  WaitCorrection,
} from '@camphorbarrow/core';

export interface RegionRoutingOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly registry: ServerRegistry;
  readonly engineClient: EngineClient;
}

/** Route choice inside the region, and the statistics on which it is based. */
export interface RegionRouting extends RouteObserver {
  readonly index: PrefixIndex;
  readonly estimator: FirstTokenEstimator;
  readonly correction: WaitCorrection;
  start(): void;
  close(): Promise<void>;
}

const CACHE_EVENTS_TIMEOUT_MS = 1_000;

/** Creates the route choice, learned rates and prefix index of a region. */
export function createRegionRouting(options: RegionRoutingOptions): RegionRouting {
  const { clock, log, registry, engineClient } = options;
  const index = createPrefixIndex();
  const rates = createServerRates();
  const estimator = createFirstTokenEstimator(rates);
  const correction = createWaitCorrection();
  const observer = createRouteObserver({
    clock,
    index,
    rates,
    estimator,
    correction,
    chooseRoute: createFirstTokenChooser(estimator),
    engineClient,
  });
  const poller = createCacheEventPoller({
    clock,
    log,
    index,
    servers: registry.servers,
    readCacheEvents: (entry, afterSequence) =>
      engineClient.readCacheEvents(entry.baseUrl, afterSequence, CACHE_EVENTS_TIMEOUT_MS),
  });
  return { ...observer, index, estimator, correction, start: poller.start, close: poller.close };
}
