import type { AttemptResult } from '../../caller/AttemptResult.js';
import type { CallResult } from '../../caller/createCaller.js';
import type { CallLabel } from '../../history/CallLabel.js';
import type { ExpectationOf } from '../../language/Step.js';
import type { ScenarioContext } from '../ScenarioContext.js';

type ReadValue = (attempt: AttemptResult) => number | undefined;

function countLabels(results: readonly CallResult[]): Map<CallLabel, number> {
  const counts = new Map<CallLabel, number>();
  results.forEach(({ last }) => counts.set(last.label, (counts.get(last.label) ?? 0) + 1));
  return counts;
}

function describeResults(results: readonly CallResult[]): string {
  const kinds = new Map<string, number>();
  results.forEach(({ last }) => {
    const kind = last.code === undefined ? last.label : `${last.label} (${last.code})`;
    kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
  });
  return [...kinds].map(([kind, count]) => `${count} ${kind}`).join(', ');
}

/** Checks how the calls of a `send` step ended for their callers. */
export async function expectCalls(
  context: ScenarioContext,
  step: ExpectationOf<'calls'>,
): Promise<string[]> {
  const group = context.callGroups.get(step.calls);
  await group?.done;
  const results = group?.results ?? [];
  const counts = countLabels(results);
  const summary = `calls of ${step.calls}: ${describeResults(results)}`;
  const problems: string[] = [];

  function checkBound(
    bound: number | undefined,
    name: string,
    readValue: ReadValue,
    isMinimum = false,
  ): void {
    results.forEach(({ call, last }) => {
      const value = readValue(last);
      const violated = isMinimum ? (value ?? 0) < (bound ?? 0) : (value ?? 0) > (bound ?? Infinity);
      if (violated) {
        problems.push(`${call}: ${name} is ${Math.round(value ?? 0)} ms, the bound is ${bound} ms`);
      }
    });
  }

  const unexpected = [...counts.keys()].filter((label) => step.only?.includes(label) === false);
  if (unexpected.length > 0) {
    problems.push(`${summary}; expected only ${step.only?.join(', ')}`);
  }
  Object.entries(step.atLeast ?? {}).forEach(([label, bound]) => {
    if ((counts.get(label as CallLabel) ?? 0) < bound) {
      problems.push(`${summary}; expected at least ${bound} ${label}`);
    }
  });
  Object.entries(step.atMost ?? {}).forEach(([label, bound]) => {
    if ((counts.get(label as CallLabel) ?? 0) > bound) {
      problems.push(`${summary}; expected at most ${bound} ${label}`);
    }
  });
  results.forEach(({ call, last }) => {
    if (step.codes !== undefined && last.code !== undefined && !step.codes.includes(last.code)) {
      problems.push(`${call}: code ${last.code}, expected ${step.codes.join(' or ')}`);
    }
  });
  checkBound(
    step.firstByteWithinMs,
    'the time to the first byte',
    ({ firstByteMs }) => firstByteMs,
  );
  checkBound(step.answeredWithinMs, 'the total time', ({ totalMs }) => totalMs);
  checkBound(step.answeredAfterMs, 'the total time', ({ totalMs }) => totalMs, true);
  checkBound(step.maxGapMs, 'the longest gap between events', ({ maxGapMs }) => maxGapMs);
  const attempts = results.reduce((sum, result) => sum + result.attempts.length, 0);
  if (attempts > (step.maxAttempts ?? Infinity)) {
    problems.push(`${attempts} attempts were made, expected at most ${step.maxAttempts}`);
  }
  return problems;
}
