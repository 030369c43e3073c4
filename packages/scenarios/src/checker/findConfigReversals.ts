import type { History } from '../history/History.js';
import { eventsOfKind } from '../history/eventsOfKind.js';
import type { Violation } from './Violation.js';

/** Finds entry host processes that went from a configuration version to a lower one. */
export function findConfigReversals(history: History): Violation[] {
  const currentVersions = new Map<string, number>();
  return eventsOfKind(history, 'config').flatMap(({ host, pid, version }) => {
    const id = `${host} ${pid}`;
    const before = currentVersions.get(id) ?? 0;
    currentVersions.set(id, version);
    return version < before
      ? [{ rule: 'config-reversal', message: `${host} went from version ${before} to ${version}` }]
      : [];
  });
}
