import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { ServiceClass } from './ServiceClass.js';
import type { ServiceResult } from './ServiceResult.js';

export interface BurnWindow {
  readonly minutes: number;
  readonly requests: number;
  readonly badRequests: number;
  /** Ratio of bad requests divided by the allowed ratio; 1 uses up exactly the error budget. */
  readonly burnRate: number;
}

export type BurnAlarm = 'none' | 'slow' | 'fast';

/** Error budget burn of one service class in one region. */
export interface BurnRow {
  readonly regionId: RegionId;
  readonly serviceClass: ServiceClass;
  readonly objectiveRatio: number;
  readonly windows: readonly BurnWindow[];
  readonly alarm: BurnAlarm;
  /** Bad results in the longest window, most frequent first. */
  readonly causes: readonly { readonly result: ServiceResult; readonly requests: number }[];
  /** Unexpired exceptions of the fleet configuration whose scope covers the region and the rank. */
  readonly exceptions: readonly { readonly id: string; readonly reason: string }[];
  /** Burn rate of each of the last 60 minutes, oldest first. */
  readonly lastHour: readonly number[];
}

export interface BurnReport {
  readonly createdAt: string;
  readonly rows: readonly BurnRow[];
  /** Gaps: hosts that did not respond, and hosts that do not cover the longest window. */
  readonly missing: readonly string[];
  readonly hosts: readonly HostId[];
}
