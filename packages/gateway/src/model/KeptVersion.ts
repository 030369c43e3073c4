import type { HostId } from '@camphorbarrow/core';
import type { ServiceName } from './ServiceName.js';
import type { SoftwareVersion } from './SoftwareVersion.js';
import type { StoreEra } from './StorePosition.js';

/**
 * Software version that servers of a service have had recently, as the hosts keep it in the store. It
 * outlives all of them for as long as a stream may go on.
 */
export interface KeptVersion {
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
  /** Host that wrote the entry and renews its lease. */
  readonly writer: HostId;
  /** Era of the store in which it was written; later restores may have lost entries beside it. */
  readonly era: StoreEra;
}
