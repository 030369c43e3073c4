import type { History } from '../history/History.js';
import type { Violation } from './Violation.js';

/** Time within which every entry host stops sending requests to a leaving server. */
export const LEAVING_BOUND_MS = 3_000;

/** Finds requests that a server received more than 3 s after it announced that it is leaving. */
export function findRequestsAfterLeaving(history: History): Violation[] {
  const leavingSinceMs = new Map<string, number>();
  return history.flatMap((event) => {
    if (event.kind === 'leaving') {
      leavingSinceMs.set(event.server, event.atMs);
    } else if (event.kind === 'started') {
      leavingSinceMs.delete(event.server);
    } else if (event.kind === 'arrived') {
      const lateMs = event.atMs - (leavingSinceMs.get(event.server) ?? Infinity);
      if (lateMs > LEAVING_BOUND_MS) {
        const message = `${event.call} arrived at ${event.server} ${lateMs} ms after it began leaving`;
        return [{ rule: 'late-work', message }];
      }
    }
    return [];
  });
}
