import { encodeWholeNumber } from '@camphorbarrow/core';
import type { ConfigurationVersion } from './RoutingTable.js';

/** Version for a log line, which holds no `bigint`. */
export function printVersion(
  version: ConfigurationVersion | undefined,
): number | string | undefined {
  return version === undefined ? undefined : encodeWholeNumber(version);
}
