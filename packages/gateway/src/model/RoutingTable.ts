import type { CallerLimits } from './CallerLimits.js';
import type { Route } from './Route.js';
import type { ServiceName } from './ServiceName.js';
import type { ServiceSpec } from './ServiceSpec.js';

/** One accepted configuration. */
export interface RoutingTable {
  /** Grows with every configuration, in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceName, ServiceSpec>;
  readonly limits: CallerLimits;
}
