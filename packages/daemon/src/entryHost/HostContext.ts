import type {
  Clock,
  HostId,
  HostSettings,
  Incarnation,
  RandomSource,
  RegionId,
} from '@camphorbarrow/core';
import type { Drain } from './createDrain.js';
import type { Ports } from './createPorts.js';

/** Identity, settings and services that all parts of one entry host share. */
export interface HostContext {
  readonly settings: HostSettings;
  readonly hostId: HostId;
  readonly regionId: RegionId;
  readonly incarnation: Incarnation;
  /** Wall-clock time at which the process started. */
  readonly startedAtMs: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly ports: Ports;
  readonly drain: Drain;
}
