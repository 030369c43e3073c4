import type { AttemptId } from '../model/AttemptId.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import { rankByRendezvous } from '../routing/rankByRendezvous.js';

/**
 * Selects the hosts of each region that hold the record of a stream. All hosts that know the same
 * fleet select the same ones.
 */
export function chooseHolders(
  stream: AttemptId,
  hosts: readonly HostRegistration[],
  hostsPerRegion: number,
): readonly HostRegistration[] {
  const byId = new Map(hosts.map((host) => [host.id as string, host]));
  const regions = new Set(hosts.map(({ region }) => region));
  return [...regions].flatMap((region) => {
    const ids = [...byId.values()].filter((host) => host.region === region).map(({ id }) => id);
    return rankByRendezvous(stream, ids)
      .slice(0, hostsPerRegion)
      .flatMap((id) => byId.get(id) ?? []);
  });
}
