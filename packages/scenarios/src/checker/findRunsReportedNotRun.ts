import type { CallLabel } from '../history/CallLabel.js';
import type { History } from '../history/History.js';
import { eventsOfKind } from '../history/eventsOfKind.js';
import type { Violation } from './Violation.js';
import { groupByCall } from './groupByCall.js';

const NOT_RUN: ReadonlySet<CallLabel> = new Set(['not-run', 'unreachable']);

/** Finds calls that ran although every attempt was reported as not run. */
export function findRunsReportedNotRun(history: History): Violation[] {
  const executed = groupByCall(eventsOfKind(history, 'executed'));
  const invoked = groupByCall(eventsOfKind(history, 'invoked'));
  return [...groupByCall(eventsOfKind(history, 'answered'))].flatMap(([call, responses]) => {
    const runs = executed.get(call) ?? [];
    const allEnded = responses.length === invoked.get(call)?.length;
    const reportedNotRun = allEnded && responses.every(({ label }) => NOT_RUN.has(label));
    return reportedNotRun && runs.length > 0
      ? [
          {
            rule: 'not-run-ran',
            message: `${call} was reported as not run but ran at ${runs[0]?.server}`,
          },
        ]
      : [];
  });
}
