import type { RegionId } from '../../ids/RegionId.js';
import type { RegionLoadSummary } from './RegionLoadSummary.js';

/** What this entry host knows of another region. */
export interface RegionView {
  readonly regionId: RegionId;
  /** The least favourable of the summaries of the region's entry hosts; undefined without any. */
  readonly load: RegionLoadSummary | undefined;
  /** Age of the newest of these summaries; at the target size the oldest is always near the limit. */
  readonly loadAgeMs: number;
  /** Heartbeat round trip; undefined when unknown, too old or when heartbeats fail. */
  readonly roundTripMs: number | undefined;
  /** Peer URLs of the region's entry hosts that take new requests. */
  readonly peerUrls: readonly string[];
}
