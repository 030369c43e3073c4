import type { History } from '../history/History.js';
import { eventsOfKind } from '../history/eventsOfKind.js';
import type { Violation } from './Violation.js';

/** A process of an entry host went from a configuration version to a lower one. */
export function findConfigReversals(history: History): Violation[] {
  const inForce = new Map<string, number>();
  return eventsOfKind(history, 'config').flatMap(({ host, pid, version }) => {
    const id = `${host} ${pid}`;
    const before = inForce.get(id) ?? 0;
    inForce.set(id, version);
    return version < before
      ? [{ rule: 'config-reversal', message: `${host} went from version ${before} to ${version}` }]
      : [];
  });
}
