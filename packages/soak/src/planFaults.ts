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
/** Faults that are drawn from a random source of their own, so that seeds keep their other faults. */
export type FaultGroup =
  | 'faults'
  | 'notices'
  | 'brittle'
  | 'restores'
  | 'connections'
  | 'stranded'
  | 'replacements'
  | 'versions'
  | 'releases';

interface GroupPlan {
  readonly kinds: readonly FaultKind[];
  /** Mean time between two faults. */
  readonly meanGapMs: number;
  /** Duration of a fault; 200 to 2,500 ms by default. */
  readonly minMs?: number;
  readonly maxMs?: number;
}

const GROUPS: Readonly<Record<FaultGroup, GroupPlan>> = {
  // The gap is shorter than most faults, so that faults overlap.
  faults: { kinds: FAULT_KINDS, meanGapMs: 700 },
  // What servers say about themselves; not a disturbance of the system.
  notices: { kinds: ['server-leaving', 'server-paused'], meanGapMs: 2_000 },
  brittle: { kinds: ['server-brittle'], meanGapMs: 4_000 },
  restores: { kinds: ['store-restored'], meanGapMs: 5_000 },
  // Hosts without their servers. Longer than the time that hosts have to learn of it.
  stranded: {
    kinds: ['stranded-silent', 'stranded-reset', 'stranded-refuse'],
    meanGapMs: 2_000,
    minMs: 9_000,
    maxMs: 11_000,
  },
  // Hosts that end and go on with another version, and back.
  replacements: { kinds: ['host-stop', 'host-stop', 'host-kill'], meanGapMs: 1_500 },
  // Servers of several versions. As long at the most as their entries are behind after a restart.
  versions: {
    kinds: [
      'versions-restarted',
      'versions-restarted',
      'versions-restarted',
      'versions-interrupted',
      'versions-interrupted',
      'versions-forgetful',
      'versions-halting',
      'versions-unframed',
      'versions-repeating',
    ],
    meanGapMs: 300,
    maxMs: 1_200,
  },
  // Hosts that start while a server of a service of one version starts again with another one.
  releases: { kinds: ['versions-released'], meanGapMs: 2_500, maxMs: 1_200 },
  // What makes hosts read late while the idle timeout of connections changes.
  connections: {
    kinds: [
      'host-pause',
      'host-pause',
      'host-reload',
      'configuration-large',
      'idle-short',
      'idle-long',
    ],
    meanGapMs: 700,
  },
};
/** All groups of faults. */
export const faultGroups = Object.keys(GROUPS) as FaultGroup[];

const MIN_FAULT_MS = 200;
const MAX_FAULT_MS = 2_500;
/** Share of faults that are followed by another fault of the same kind at the same index. */
const REPEAT_RATIO = 0.25;

/**
 * Generates the faults of a group in a run, with an index below `targetCount` each. The same random
 * numbers yield the same faults.
 */
export function planFaults(
  random: RandomSource,
  durationMs: number,
  targetCount: number,
  group: FaultGroup = 'faults',
): readonly PlannedFault[] {
  const { kinds, meanGapMs, minMs = MIN_FAULT_MS, maxMs = MAX_FAULT_MS } = GROUPS[group];
  const faults: PlannedFault[] = [];
  // Discarded: with small seeds, the first random number hardly depends on the seed.
  random.next();
  let atMs = 0;
  let repeated: PlannedFault | undefined;
  for (;;) {
    atMs += random.next() * 2 * meanGapMs;
    const forMs = minMs + random.next() * (maxMs - minMs);
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
