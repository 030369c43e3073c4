import type { z } from 'zod';
import type { deploymentSchema } from './deploymentSchema.js';

const PLATFORM_PROCESSES = ['store', 'directory', 'weights', 'hostlist'];

function numbered(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);
}

/** Names of the processes of a deployment, as the launcher assigns them. */
export function processNames({ regions }: z.infer<typeof deploymentSchema>): Set<string> {
  const names = regions.flatMap((region) => [
    ...numbered(region.name, region.entryHosts),
    ...numbered(`${region.name}-engine`, region.engines),
    ...numbered(`${region.name}-orders`, region.orderingServers),
  ]);
  return new Set([...PLATFORM_PROCESSES, ...names]);
}
