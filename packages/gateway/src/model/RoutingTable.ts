import type { WholeNumber } from '@camphorbarrow/core';
import type { CallerLimits } from './CallerLimits.js';
import type { CustomerTable } from './CustomerTable.js';
import type { Route } from './Route.js';
import type { ServiceName } from './ServiceName.js';
import type { ServiceSpec } from './ServiceSpec.js';

/** Version of a configuration, which the operator chooses. */
export type ConfigurationVersion = WholeNumber;

/** Routing configuration that was validated and accepted. */
export interface RoutingTable {
  /** Increases with every new configuration, not necessarily by one. */
  readonly version: ConfigurationVersion;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceName, ServiceSpec>;
  readonly limits: CallerLimits;
  /** Undefined if the configuration has no customers; callers then need no key. */
  readonly customers: CustomerTable | undefined;
}
