import { createHash } from 'node:crypto';
import {
  asId,
  createCrashTracker,
  createBurnCounters,
  createOutcomeTable,
  createPrefixIndex,
} from '@camphorbarrow/core';
import type { Fingerprint, Incarnation, ServerId } from '@camphorbarrow/core';
import { createVirtualClock } from '../clock/createVirtualClock.js';
import type { Measurement } from './Measurement.js';
import { fitMeasurement } from './fitMeasurement.js';
import { measureRetainedBytes } from './measureRetainedBytes.js';

const MS_PER_MINUTE = 60_000;
const REQUESTS_PER_CRASH = 64;
/** Length of the block hashes that engines report. */
const BLOCK_HASH_CHARACTERS = 16;

const hash = (index: number): string => createHash('sha256').update(String(index)).digest('hex');

async function fillOutcomeTable(entries: number): Promise<unknown> {
  const table = createOutcomeTable({
    nowMs: () => 0,
    maxEntries: entries,
    maxAnswerChars: Infinity,
    retentionMs: 1,
    evictWhenFull: false,
  });
  for (let index = 0; index < entries; index += 1) {
    table.start(`order-${hash(index)}`, asId<Fingerprint>(hash(index)), 1, async () => ({
      kind: 'run',
      answer: undefined,
    }));
  }
  await table.close();
  return table;
}

function fillPrefixIndex(entries: number): unknown {
  const index = createPrefixIndex({ maxEntries: entries, maxEntriesPerServer: entries });
  index.addPrompt(
    asId<ServerId>('engine-1'),
    Array.from({ length: entries }, (_, number) => hash(number).slice(0, BLOCK_HASH_CHARACTERS)),
  );
  return index;
}

function fillCrashTracker(crashes: number): unknown {
  const tracker = createCrashTracker({ clock: createVirtualClock(), holdMs: () => 600_000 });
  for (let crash = 0; crash < crashes; crash += 1) {
    tracker.merge({
      serverId: asId<ServerId>(`engine-${crash}`),
      incarnation: asId<Incarnation>(hash(crash)),
      running: Array.from({ length: REQUESTS_PER_CRASH }, (_, request) =>
        asId<Fingerprint>(hash(crash * REQUESTS_PER_CRASH + request)),
      ),
      suspects: [],
    });
  }
  return tracker;
}

/** Records four results for each of the four service classes in every minute. */
function fillBurnCounters(minutes: number): ReturnType<typeof createBurnCounters> {
  let nowMs = 0;
  const counters = createBurnCounters({ ...createVirtualClock(), nowMs: () => nowMs });
  for (let minute = 0; minute < minutes; minute += 1) {
    nowMs = minute * MS_PER_MINUTE;
    for (const serviceClass of ['urgent', 'patient', 'order', 'status'] as const) {
      for (const result of ['good', 'late-first-token', 'failed', 'refused-overload'] as const) {
        counters.record(serviceClass, result);
      }
    }
  }
  return counters;
}

/** Measures the memory of tables with one entry per order, prefix block, crash or minute. */
export async function measureTables(scale: 'full' | 'small'): Promise<Measurement[]> {
  const cases = [
    { subject: 'outcome table', per: 'order', sizes: [500, 2_000, 8_000], fill: fillOutcomeTable },
    { subject: 'prefix index', per: 'block', sizes: [1_000, 5_000, 20_000], fill: fillPrefixIndex },
    { subject: 'blame ledger', per: 'crash', sizes: [16, 64, 256], fill: fillCrashTracker },
    { subject: 'burn counters', per: 'minute', sizes: [60, 180, 361], fill: fillBurnCounters },
  ] as const;
  const measurements: Measurement[] = [];
  for (const { subject, per, sizes, fill } of cases) {
    const points = [];
    for (const size of scale === 'full' ? sizes : sizes.slice(0, 1)) {
      points.push({ size, value: await measureRetainedBytes(() => fill(size)) });
    }
    measurements.push(fitMeasurement({ subject, unit: 'memory bytes', per, points }));
  }
  const sent = [60, 180, 361].map((size) => ({
    size,
    value: JSON.stringify(fillBurnCounters(size).minutes()).length,
  }));
  measurements.push(
    fitMeasurement({ subject: 'burn counters', unit: 'sent bytes', per: 'minute', points: sent }),
  );
  return measurements;
}
