import type { History } from '../history/History.js';
import { eventsOfKind } from '../history/eventsOfKind.js';
import type { Violation } from './Violation.js';

const MAX_HOSTS = 2;

/**
 * Finds requests that visited an entry host twice or more than two entry hosts, or were rejected as
 * a loop.
 */
export function findLoops(history: History): Violation[] {
  const rejected = eventsOfKind(history, 'answered')
    .filter(({ code }) => code === 'loop-detected')
    .map(({ call, host }) => `${call} returned to ${host}`);
  const visited = eventsOfKind(history, 'arrived')
    .filter(({ path = [] }) => new Set(path).size < path.length || path.length > MAX_HOSTS)
    .map(({ call, path = [] }) => `${call} visited ${path.join(', ')}`);
  return [...rejected, ...visited].map((message) => ({ rule: 'loop', message }));
}
