import type { CrashReport, PromptPartKey, ServerId } from '@camphorbarrow/core';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { HeartbeatEcho, HostState } from './PeerHeartbeat.js';

/** Version of the message format. Messages with another version are rejected. */
export const MESSAGE_VERSION = 1;

/** `queueMs`, `msPerToken`, `msPerEvent`, `usableServers`, `slotUsageRatio`, `running`. */
type CapacityFigures = readonly [number, number, number, number, number, number];

/** Heartbeat in the form that is sent. */
export interface WireHeartbeat {
  readonly v: number;
  readonly host: HostRegistration;
  readonly inc: string;
  readonly at: number;
  readonly echo?: HeartbeatEcho;
  readonly state: HostState;
  /** Time in ms until a draining sender closes its connections; omitted if it does not drain. */
  readonly closes?: number;
  /** Revision of the store; decimal text if a number cannot hold it. */
  readonly rev: number | string;
  /** Era of `rev`, likewise; omitted if it is 0. */
  readonly era?: number | string;
  /** Version of the configuration in force; omitted if there is none. */
  readonly cfg?: number;
  /** That version as decimal text if a number cannot hold it; `cfg` is omitted then. */
  readonly cfgx?: string;
  /** Server, running requests, pending prompt tokens by rank, and the pace if there is one. */
  readonly load: readonly (readonly [
    ServerId,
    number,
    readonly (readonly [number, number])[],
    number?,
  ])[];
  /** Server, outcomes, and failures among them; omitted if no server fails requests. */
  readonly fails?: readonly (readonly [ServerId, number, number])[];
  readonly cap: readonly (readonly [ServiceName, ...CapacityFigures])[];
  readonly crash: readonly CrashReport[];
  /** Crashes and responses by prompt part; omitted if there are none. */
  readonly parts?: WirePartEvidence;
  /** Suspected prompt parts on trial; omitted if there are none. */
  readonly trials?: readonly PromptPartKey[];
  /** Server, its limit in requests per second or null, and age in ms; omitted if there are none. */
  readonly limits?: readonly (readonly [string, number | null, number])[];
  /**
   * Server, its service, the rejections in a second that it bears or null, and age in ms; omitted if
   * there are none.
   */
  readonly rej?: readonly (readonly [string, ServiceName, number | null, number])[];
  /** Service, software version, and age in ms; omitted if there are none. */
  readonly vers?: readonly (readonly [string, string, number])[];
  /** Whether the sender knows all versions that streams may have; hosts of earlier builds omit it. */
  readonly hist?: boolean;
}

/** Crashes and responses by prompt part, in the form that is sent. */
export interface WirePartEvidence {
  /** Crash id, age in ms, parts, and those of them that were on trial. */
  readonly crashes: readonly (readonly [
    string,
    number,
    readonly PromptPartKey[],
    readonly PromptPartKey[],
  ])[];
  /** Part and age of its latest response in ms. */
  readonly served: readonly (readonly [PromptPartKey, number])[];
}
