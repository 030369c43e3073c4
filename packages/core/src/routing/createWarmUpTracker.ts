import type { Incarnation } from '../ids/Incarnation.js';
import type { ServerId } from '../ids/ServerId.js';
import type { ServerView } from './ServerView.js';

export interface WarmUpTracker {
  /** Usable share of a server's batch slots; grows to 1 after a start with an empty cache. */
  capacityRatio(server: ServerView, nowMs: number): number;
}

interface WarmUpRecord {
  readonly incarnation: Incarnation | undefined;
  readonly warmAtMs: number;
}

const WARM_UP_MS = 20_000;
const MIN_CAPACITY_RATIO = 0.1;
/**
 * Servers that are first seen within this time of the first call are assumed to be warm, because
 * they were probably running before this entry host started.
 */
const DISCOVERY_MS = 10_000;
const MAX_SERVERS = 8_192;

/** Creates the tracker of recently started servers. */
export function createWarmUpTracker(): WarmUpTracker {
  const records = new Map<ServerId, WarmUpRecord>();
  let startedAtMs: number | undefined;

  function recordOf(server: ServerView, nowMs: number): WarmUpRecord {
    const { serverId } = server.entry;
    const existing = records.get(serverId);
    const incarnation = server.load?.incarnation;
    if (
      existing !== undefined &&
      (incarnation === undefined || existing.incarnation === incarnation)
    ) {
      return existing;
    }
    startedAtMs ??= nowMs;
    const discovering = nowMs - startedAtMs < DISCOVERY_MS;
    const cold = existing === undefined ? !discovering : existing.incarnation !== undefined;
    const record = { incarnation, warmAtMs: cold ? nowMs + WARM_UP_MS : (existing?.warmAtMs ?? 0) };
    records.set(serverId, record);
    const [oldest] = records.keys();
    if (records.size > MAX_SERVERS && oldest !== undefined) {
      records.delete(oldest);
    }
    return record;
  }

  return {
    capacityRatio(server, nowMs) {
      const remainingMs = recordOf(server, nowMs).warmAtMs - nowMs;
      return remainingMs <= 0 ? 1 : Math.max(MIN_CAPACITY_RATIO, 1 - remainingMs / WARM_UP_MS);
    },
  };
}
