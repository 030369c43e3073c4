import type { RandomSource } from '@camphorbarrow/core';
import type { FaultKind, PlannedFault } from './PlannedFault.js';

const FAULT_KINDS: readonly FaultKind[] = [
  'host-stop',
  'host-kill',
  'host-pause',
  'host-reload',
  'store-silent',
  'store-busy',
  'store-reset',
  'store-lost',
  'store-history',
  'store-leases',
  'store-link-delayed',
  'store-link-reset',
  'store-link-silent',
  'store-link-one-way',
  'server-link-delayed',
  'server-link-reset',
  'server-link-silent',
  'server-link-one-way',
  'server-shed',
  'server-error',
  'server-lost',
  'server-torn',
  'server-foreign',
  'server-unsealed',
  'server-interrupted',
  'server-hang',
  'server-replaced',
  'configuration',
  'evacuation',
];
/** What servers say about themselves; not a disturbance of the system. */
const NOTICE_KINDS: readonly FaultKind[] = ['server-leaving', 'server-paused'];
const MEAN_NOTICE_GAP_MS = 2_000;
/** Mean time between faults. Shorter than most faults, so that faults overlap. */
const MEAN_GAP_MS = 700;
const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 2_500;
/** Share of faults that are followed by another fault of the same kind at the same index. */
const REPEAT_RATIO = 0.25;

/**
 * Generates the faults or the notices of a run, with an index below `targetCount` each. The same random numbers
 * yield the same faults.
 */
export function planFaults(
  random: RandomSource,
  durationMs: number,
  targetCount: number,
  group: 'faults' | 'notices' = 'faults',
): readonly PlannedFault[] {
  const kinds = group === 'faults' ? FAULT_KINDS : NOTICE_KINDS;
  const meanGapMs = group === 'faults' ? MEAN_GAP_MS : MEAN_NOTICE_GAP_MS;
  const faults: PlannedFault[] = [];
  // Discarded: with small seeds, the first random number hardly depends on the seed.
  random.next();
  let atMs = 0;
  let repeated: PlannedFault | undefined;
  for (;;) {
    atMs += random.next() * 2 * meanGapMs;
    const forMs = MIN_FAULT_MS + random.next() * (MAX_FAULT_MS - MIN_FAULT_MS);
    if (atMs + forMs > durationMs) {
      return faults;
    }
    const kind = kinds[Math.floor(random.next() * kinds.length)] ?? 'host-kill';
    const index = Math.floor(random.next() * targetCount);
    const fault =
      repeated === undefined ? { atMs, forMs, kind, index } : { ...repeated, atMs, forMs };
    faults.push(fault);
    repeated = random.next() < REPEAT_RATIO ? fault : undefined;
  }
}
