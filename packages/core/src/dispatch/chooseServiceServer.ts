import type { ServerRegistry } from '../membership/createServerRegistry.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { ServerView } from '../routing/ServerView.js';

/** Selects a random accepting server of a plain service among those not tried yet. */
export function chooseServiceServer(
  registry: ServerRegistry,
  serviceName: string,
  tried: ReadonlySet<string>,
  random: RandomSource,
): ServerView | undefined {
  const servers = registry
    .servers()
    .filter(
      ({ entry, accepting }) =>
        accepting &&
        entry.kind === 'service' &&
        entry.serviceName === serviceName &&
        !tried.has(entry.serverId),
    );
  return servers[Math.floor(random.next() * servers.length)];
}
