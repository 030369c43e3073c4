import type { History } from '../history/History.js';
import { eventsOf } from '../history/eventsOf.js';
import type { Violation } from './Violation.js';

/** A request bound to a region reached a backend server of another region. */
export function findUseOutsideHome(history: History): Violation[] {
  const homes = new Map(
    eventsOf(history, 'invoked').map(({ call, homeRegion }) => [call, homeRegion]),
  );
  return [...eventsOf(history, 'arrived'), ...eventsOf(history, 'executed')].flatMap(
    ({ call, server, region }) => {
      const home = homes.get(call ?? '');
      return home === undefined || home === region
        ? []
        : [{ rule: 'outside-home', message: `${call}, bound to ${home}, reached ${server}` }];
    },
  );
}
