import type { VirtualClock } from '../clock/VirtualClock.js';
import type { FakeLinks } from '../fakes/createFakeLinks.js';
import type { WorkloadCase } from '../workload/WorkloadCase.js';
import type { BenchFleet } from './createBenchFleet.js';

/** Currently active faults that affect all regions. */
export interface FaultState {
  storeDown: boolean;
  allAttemptsFail: boolean;
}

/** Schedules the start and end of every fault. The returned state changes with them. */
export function scheduleFaults(
  { faults }: WorkloadCase,
  clock: VirtualClock,
  links: FakeLinks,
  fleet: BenchFleet,
): FaultState {
  const state: FaultState = { storeDown: false, allAttemptsFail: false };

  faults.forEach((fault) => {
    const apply = (active: boolean): void => {
      switch (fault.kind) {
        case 'region-cut':
          (active ? links.cut : links.restore)(fault.region);
          return;
        case 'server-loss':
          (active ? fleet.stop : fleet.restart)(fault.serverId);
          return;
        case 'store-outage':
          state.storeDown = active;
          return;
        case 'all-attempts-fail':
          state.allAttemptsFail = active;
      }
    };
    clock.schedule(fault.fromMs, () => apply(true));
    clock.schedule(fault.toMs, () => apply(false));
  });
  return state;
}
