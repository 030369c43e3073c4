import { asId, createSeededRandom } from '@camphorbarrow/core';
import type { AvailabilityZoneId, HostListEntry, RegionId, ServerId } from '@camphorbarrow/core';
import type { VirtualClock } from '../clock/VirtualClock.js';
import { createFakeEngine } from '../fakes/createFakeEngine.js';
import type { FakeEngine } from '../fakes/createFakeEngine.js';
import type { Workload } from '../workload/Workload.js';

/** Backend servers of all regions. */
export interface BenchFleet {
  readonly entries: readonly HostListEntry[];
  /** Engines by base URL. */
  readonly engines: ReadonlyMap<string, FakeEngine>;
  isUp(baseUrl: string): boolean;
  stop(serverId: string): void;
  restart(serverId: string): void;
  /** Time during which engines were busy, summed over all engines. */
  busyMs(): number;
}

/** Creates the engines and ordering servers of a workload. */
export function createBenchFleet(
  workload: Workload,
  clock: VirtualClock,
  seed: number,
): BenchFleet {
  const engines = new Map<string, FakeEngine>();
  const entries: HostListEntry[] = [];
  const stopped = new Set<string>();
  const models = workload.classes.flatMap((c) => (c.kind === 'inference' ? [c.model] : []));

  workload.regions.forEach((region) => {
    const common = {
      regionId: asId<RegionId>(region.name),
      availabilityZoneId: asId<AvailabilityZoneId>(`${region.name}-a`),
      state: 'live' as const,
    };
    for (let index = 1; index <= region.engines; index += 1) {
      const serverId = `${region.name}-engine-${index}`;
      engines.set(
        serverId,
        createFakeEngine({
          serverId,
          clock,
          random: createSeededRandom(seed * 1000 + engines.size),
          settings: workload.engine,
        }),
      );
      entries.push({
        ...common,
        serverId: asId<ServerId>(serverId),
        kind: 'engine',
        baseUrl: serverId,
        models: [...new Set(models)],
      });
    }
    for (let index = 1; index <= region.orderingServers; index += 1) {
      const serverId = `${region.name}-orders-${index}`;
      entries.push({
        ...common,
        serverId: asId<ServerId>(serverId),
        kind: 'service',
        baseUrl: serverId,
        models: [],
        serviceName: 'orders',
      });
    }
  });

  return {
    entries,
    engines,
    isUp: (baseUrl) => !stopped.has(baseUrl),
    stop(serverId) {
      stopped.add(serverId);
      engines.get(serverId)?.stop();
    },
    restart(serverId) {
      stopped.delete(serverId);
      engines.get(serverId)?.restart();
    },
    busyMs: () => [...engines.values()].reduce((sum, engine) => sum + engine.busyMs(), 0),
  };
}
