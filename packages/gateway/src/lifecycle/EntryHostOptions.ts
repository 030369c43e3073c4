import type {
  AvailabilityZoneId,
  Clock,
  LogSink,
  MetricsSink,
  RandomSource,
  RegionId,
  WatchEvent,
} from '@camphorbarrow/core';
import type { Endpoint } from '../model/Endpoint.js';
import type { FleetChange } from '../model/FleetChange.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { MetadataStore } from '../ports/MetadataStore.js';
import type { CacheFeed } from '../ports/CacheFeed.js';
import type { WireCodec } from '../ports/WireCodec.js';
import type { ConnectionPools } from '../upstream/createConnectionPools.js';

/** Bounds of the deployment that the entry host keeps. */
export interface FleetBounds {
  /** Sends beyond the first that are allowed per request. */
  readonly retryRatio: number;
  /** Sends beyond the first per window that all hosts together may make regardless of requests. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Time between SIGTERM and SIGKILL. */
  readonly graceMs: number;
  /** Interval of the servers' heartbeats. */
  readonly serverHeartbeatMs: number;
}

export interface EntryHostOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly own: HostRegistration;
  /** Addresses of other entry hosts that the settings name now. */
  readonly seeds: () => readonly Endpoint[];
  /** The bounds that the settings name now. */
  readonly bounds: () => FleetBounds;
  readonly maxConnections: number;
  readonly regionOfZone: (zone: AvailabilityZoneId) => RegionId | undefined;
  readonly store: MetadataStore;
  readonly codec: WireCodec;
  /** Creates the reader of the engines' cache events over the host's connections. */
  readonly createCacheFeed: (connections: ConnectionPools) => CacheFeed;
  readonly decodeChange: (event: WatchEvent) => FleetChange;
  /** Key and encoded value under which this host registers in the store. */
  readonly registration: { readonly key: string; readonly value: string };
}
