import type { History } from '../history/History.js';
import { eventsOfKind } from '../history/eventsOfKind.js';
import type { Violation } from './Violation.js';

/** Finds requests bound to a home region that reached a backend server of another region. */
export function findRequestsOutsideHome(history: History): Violation[] {
  const homes = new Map(
    eventsOfKind(history, 'invoked').map(({ call, homeRegion }) => [call, homeRegion]),
  );
  return [...eventsOfKind(history, 'arrived'), ...eventsOfKind(history, 'executed')].flatMap(
    ({ call, server, region }) => {
      const home = homes.get(call ?? '');
      return home === undefined || home === region
        ? []
        : [{ rule: 'outside-home', message: `${call}, bound to ${home}, reached ${server}` }];
    },
  );
}
