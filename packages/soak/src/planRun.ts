import { createSeededRandom } from '@camphorbarrow/core';
import type { PlannedFault } from './PlannedFault.js';
import { faultGroups, planFaults } from './planFaults.js';
import type { FaultGroup } from './planFaults.js';
import { releasedServices, versionedService } from './versionedService.js';

/** Groups are drawn apart, so that a seed keeps the faults that it is known for. */
const SEED_OFFSETS: Readonly<Record<FaultGroup, number>> = {
  faults: 0,
  notices: 1_000_000,
  brittle: 5_000_000,
  restores: 2_000_000,
  stranded: 6_000_000,
  replacements: 7_000_000,
  connections: 3_000_000,
  versions: 8_000_000,
  releases: 10_000_000,
};

/** Time from the end of a host to the entry of the released server. */
const RELEASE_MS = 1_400;

export interface RunPlanOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly hostCount: number;
  /** Whether hosts are replaced by ones that run another program. */
  readonly replacesPrograms: boolean;
  /** Groups that the run has; all by default. */
  readonly groups?: readonly FaultGroup[] | undefined;
}

/** Kills a host, which starts again about when the server of the release does. */
function planRelease(release: PlannedFault, hostCount: number): readonly PlannedFault[] {
  const { atMs, forMs, index } = release;
  return [
    { ...release, kind: 'host-kill', index: index % hostCount },
    { ...release, atMs: atMs + forMs, forMs: RELEASE_MS - forMs },
  ];
}

/** Generates the faults of all groups of a run. */
export function planRun(options: RunPlanOptions): readonly PlannedFault[] {
  const { seed, durationMs, hostCount, replacesPrograms, groups } = options;
  const targetCounts: Partial<Record<FaultGroup, number>> = {
    // One host only: what its pauses excuse is still checked at the others.
    connections: 1,
    versions: versionedService.servers.length,
    releases: releasedServices.length,
  };
  const changes: Partial<Record<FaultGroup, Partial<PlannedFault>>> = {
    replacements: { replacesProgram: true },
    connections: { index: seed % hostCount },
  };
  return faultGroups
    .filter((group) => groups?.includes(group) ?? true)
    .filter((group) => replacesPrograms || group !== 'replacements')
    .flatMap((group) =>
      planFaults(
        createSeededRandom(seed + SEED_OFFSETS[group]),
        durationMs,
        targetCounts[group] ?? hostCount,
        group,
      )
        .map((fault) => ({ ...fault, ...changes[group] }))
        .flatMap((fault) => (group === 'releases' ? planRelease(fault, hostCount) : [fault])),
    );
}
