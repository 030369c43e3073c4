import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { ServerId } from '../ids/ServerId.js';

/** A backend server as described by the platform's host list, which may be out of date. */
export interface HostListEntry {
  readonly serverId: ServerId;
  readonly kind: 'engine' | 'service';
  /** Base URL with an IP address, for example `http://127.0.0.1:9000`. */
  readonly baseUrl: string;
  readonly regionId: RegionId;
  readonly availabilityZoneId: AvailabilityZoneId;
  /** Models that an engine serves; empty for services. */
  readonly models: readonly string[];
  /** Name of the service; undefined for engines. */
  readonly serviceName?: string | undefined;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of backend servers. */
export interface HostList {
  /** Rejects with `PlatformError` when the list cannot be read. */
  read(): Promise<readonly HostListEntry[]>;
  close(): Promise<void>;
}
