import type { History } from '../history/History.js';
import { eventsOfKind } from '../history/eventsOfKind.js';
import type { Violation } from './Violation.js';
import { groupByCall } from './groupByCall.js';

/** A call that may not be repeated ran more than once, or two calls with one key both ran. */
export function findDuplicateRuns(history: History): Violation[] {
  const executed = groupByCall(eventsOfKind(history, 'executed'));
  const callsByKey = new Map<string, Set<string>>();
  eventsOfKind(history, 'invoked')
    .filter(({ repeatable }) => !repeatable)
    .forEach(({ call, key }) => {
      const group = key ?? `call ${call}`;
      callsByKey.set(group, (callsByKey.get(group) ?? new Set()).add(call));
    });
  return [...callsByKey.values()].flatMap((calls) => {
    const runs = [...calls].flatMap((call) => executed.get(call) ?? []);
    const places = runs.map(({ call, server }) => `${call} at ${server}`).join(', ');
    return runs.length > 1
      ? [{ rule: 'doubled-run', message: `ran ${runs.length} times: ${places}` }]
      : [];
  });
}
