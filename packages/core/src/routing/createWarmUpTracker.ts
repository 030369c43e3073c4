import type { Incarnation } from '../ids/Incarnation.js';
import type { ServerId } from '../ids/ServerId.js';
import type { ServerView } from './ServerView.js';

export interface WarmUpTracker {
  /** Share of a server's batch to use, growing to 1 after its start with an empty cache. */
  capacityRatio(server: ServerView, nowMs: number): number;
}

interface Seen {
  readonly incarnation: Incarnation | undefined;
  readonly warmAtMs: number;
}

const WARM_UP_MS = 20_000;
const MIN_CAPACITY_RATIO = 0.1;
/** Servers seen first within this time of the entry host's own start are taken as warm. */
const LEARNING_MS = 10_000;
const MAX_SERVERS = 8_192;

/** Creates the record of which servers have started recently. */
export function createWarmUpTracker(): WarmUpTracker {
  const seen = new Map<ServerId, Seen>();
  let startedAtMs: number | undefined;

  function recordOf(server: ServerView, nowMs: number): Seen {
    const { serverId } = server.entry;
    const known = seen.get(serverId);
    const incarnation = server.load?.incarnation;
    if (known !== undefined && (incarnation === undefined || known.incarnation === incarnation)) {
      return known;
    }
    startedAtMs ??= nowMs;
    const learning = nowMs - startedAtMs < LEARNING_MS;
    const cold = known === undefined ? !learning : known.incarnation !== undefined;
    const record = { incarnation, warmAtMs: cold ? nowMs + WARM_UP_MS : (known?.warmAtMs ?? 0) };
    seen.set(serverId, record);
    const [oldest] = seen.keys();
    if (seen.size > MAX_SERVERS && oldest !== undefined) {
      seen.delete(oldest);
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
