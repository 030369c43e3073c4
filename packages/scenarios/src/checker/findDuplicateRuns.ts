import type { History } from '../history/History.js';
import { eventsOfKind } from '../history/eventsOfKind.js';
import type { Violation } from './Violation.js';
import { groupByCall } from './groupByCall.js';

/** Finds non-repeatable calls that ran more than once, alone or with other calls of the same key. */
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
    const executions = runs.map(({ call, server }) => `${call} at ${server}`).join(', ');
    return runs.length > 1
      ? [{ rule: 'doubled-run', message: `ran ${runs.length} times: ${executions}` }]
      : [];
  });
}
