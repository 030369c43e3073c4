import type { ExpectationOf } from '../../language/Step.js';
import type { ScenarioContext } from '../ScenarioContext.js';

/** Checks that a leaving server received no request after the bound, not even a rejected one. */
export async function expectNoWorkAfterLeaving(
  context: ScenarioContext,
  step: ExpectationOf<'noWorkAfterLeaving'>,
): Promise<string[]> {
  const records = await context.deployment.recordsOf(step.server);
  const leaving = records.findLast(({ kind }) => kind === 'leaving');
  if (leaving === undefined) {
    return [`${step.server} has not announced that it is leaving`];
  }
  const late = records.filter(
    (record) => record.kind === 'arrived' && record.atMs - leaving.atMs > step.afterMs,
  );
  const latestMs = (late.at(-1)?.atMs ?? 0) - leaving.atMs;
  return late.length > 0
    ? [
        `${late.length} requests arrived at ${step.server}, the last ${latestMs} ms after it began leaving`,
      ]
    : [];
}
