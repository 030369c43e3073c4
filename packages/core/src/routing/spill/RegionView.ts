import type { RegionId } from '../../ids/RegionId.js';
import type { RegionLoadSummary } from './RegionLoadSummary.js';

/** State of another region as known to this entry host. */
export interface RegionView {
  readonly regionId: RegionId;
  /**
   * Least favourable combination of the summaries of the region's entry hosts; undefined without
   * any.
   */
  readonly load: RegionLoadSummary | undefined;
  /**
   * Age of the newest of these summaries. The oldest is no useful measure: in a fleet of the target
   * size it is always near the age limit.
   */
  readonly loadAgeMs: number;
  /** Heartbeat round trip; undefined when unknown, outdated or when heartbeats fail. */
  readonly roundTripMs: number | undefined;
  /** Peer URLs of the region's entry hosts that accept new requests. */
  readonly peerUrls: readonly string[];
}
