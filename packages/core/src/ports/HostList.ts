import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { ServerId } from '../ids/ServerId.js';

/** A backend server as the platform's host list describes it. The list lags. */
export interface HostListEntry {
  readonly serverId: ServerId;
  readonly kind: 'engine' | 'service';
  /** Base URL with an IP address, for example `http://127.0.0.1:9000`. */
  readonly baseUrl: string;
  readonly regionId: RegionId;
  readonly availabilityZoneId: AvailabilityZoneId;
  /** Models an engine serves; empty for plain services. */
  readonly models: readonly string[];
  /** Name of the plain service; undefined for engines. */
  readonly serviceName?: string | undefined;
  readonly state: 'live' | 'leaving';
}

export interface HostList {
  /** Rejects with `PlatformError` when the list cannot be read. */
  read(): Promise<readonly HostListEntry[]>;
  close(): Promise<void>;
}
