import type {
  AvailabilityZoneId,
  BodyBuffers,
  BodyMemory,
  Clock,
  LogSink,
  MetricsSink,
  RandomSource,
  RegionId,
  WatchEvent,
} from '@camphorbarrow/core';
import type { CacheResponseRecorder } from '../exchange/createCacheResponseRecorder.js';
import type { ConnectionMemory } from '../ingress/createConnectionMemory.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { FleetChange } from '../model/FleetChange.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { ConfigurationToKeep } from '../model/KeptConfiguration.js';
import type { KeptVersion } from '../model/KeptVersion.js';
import type { MetadataStore } from '../ports/MetadataStore.js';
import type { CacheFeed } from '../ports/CacheFeed.js';
import type { ServerReports } from '../ports/ServerReports.js';
import type { WireCodec } from '../ports/WireCodec.js';
import type { ConnectionPools } from '../upstream/createConnectionPools.js';

/**
 * Tolerance within which the allowance of a customer holds: in any window, all hosts together may
 * admit (rate x window + burst) x (1 + `excessRatio`) + `slack`.
 */
export interface AllowanceBounds {
  readonly windowMs: number;
  readonly excessRatio: number;
  /** Requests or tokens, in the unit of the allowance. */
  readonly slack: number;
}

/** Limits and intervals of the deployment that an entry host observes. */
export interface FleetBounds {
  /** Retries allowed per request. */
  readonly retryRatio: number;
  /** Retries per window that all hosts together may make regardless of the number of requests. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Time between SIGTERM and SIGKILL. */
  readonly graceMs: number;
  /** Bounds on customers' allowances; undefined where the deployment has none. */
  readonly allowances: AllowanceBounds | undefined;
  /** Interval of the servers' heartbeats. */
  readonly serverHeartbeatMs: number;
}

export interface EntryHostOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly own: HostRegistration;
  /** Addresses of other entry hosts in the current settings. */
  readonly seeds: () => readonly Endpoint[];
  /** Bounds in the current settings. */
  readonly bounds: () => FleetBounds;
  /** Connections of callers whose requests are served. */
  readonly maxConnections: number;
  /** Connections of peers whose requests are served. */
  readonly maxPeerConnections: number;
  readonly regionOfZone: (zone: AvailabilityZoneId) => RegionId | undefined;
  readonly store: MetadataStore;
  /** Holds the bodies of requests and of the responses to them. */
  readonly requestBodies: BodyMemory;
  /** Holds requests in progress, apart from their bodies. */
  readonly connectionMemory: ConnectionMemory;
  /** Holds messages between hosts, which requests must not displace. */
  readonly controlBodies: BodyBuffers;
  readonly codec: WireCodec;
  /** Creates the reader of the engines' cache events over the host's connections. */
  readonly createCacheFeed: (
    connections: ConnectionPools,
    onResponse: CacheResponseRecorder,
  ) => CacheFeed;
  /** Creates the reader of the servers' reports over the host's connections. */
  readonly createServerReports: (connections: ConnectionPools) => ServerReports;
  readonly decodeChange: (event: WatchEvent) => FleetChange;
  /** Key and encoded value under which this host registers in the store. */
  readonly registration: { readonly key: string; readonly value: string };
  /** Encodes the entry in the store of the last configuration that could be read. */
  readonly encodeKeptConfiguration: (entry: ConfigurationToKeep) => {
    readonly key: string;
    readonly value: string;
  };
  /** Encodes the entry in the store of a software version of a service. */
  readonly encodeKeptVersion: (entry: KeptVersion) => {
    readonly key: string;
    readonly value: string;
  };
}
