import type { AttemptResult } from '../../caller/AttemptResult.js';
import type { CallResult } from '../../caller/createCaller.js';
import type { CallLabel } from '../../history/CallLabel.js';
import type { ExpectationOf } from '../../language/Step.js';
import type { ScenarioContext } from '../ScenarioContext.js';

type Measure = (attempt: AttemptResult) => number | undefined;

function countLabels(results: readonly CallResult[]): Map<CallLabel, number> {
  const counts = new Map<CallLabel, number>();
  results.forEach(({ last }) => counts.set(last.label, (counts.get(last.label) ?? 0) + 1));
  return counts;
}

function describe(results: readonly CallResult[]): string {
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
  const seen = `calls of ${step.calls}: ${describe(results)}`;
  const problems: string[] = [];

  function limit(bound: number | undefined, name: string, measure: Measure, least = false): void {
    results.forEach(({ call, last }) => {
      const value = measure(last);
      const breaks = least ? (value ?? 0) < (bound ?? 0) : (value ?? 0) > (bound ?? Infinity);
      if (breaks) {
        problems.push(`${call}: ${name} is ${Math.round(value ?? 0)} ms, the bound ${bound} ms`);
      }
    });
  }

  const foreign = [...counts.keys()].filter((label) => step.only?.includes(label) === false);
  if (foreign.length > 0) {
    problems.push(`${seen}; only ${step.only?.join(', ')} may occur`);
  }
  Object.entries(step.atLeast ?? {}).forEach(([label, bound]) => {
    if ((counts.get(label as CallLabel) ?? 0) < bound) {
      problems.push(`${seen}; at least ${bound} ${label} expected`);
    }
  });
  Object.entries(step.atMost ?? {}).forEach(([label, bound]) => {
    if ((counts.get(label as CallLabel) ?? 0) > bound) {
      problems.push(`${seen}; at most ${bound} ${label} expected`);
    }
  });
  results.forEach(({ call, last }) => {
    if (step.codes !== undefined && last.code !== undefined && !step.codes.includes(last.code)) {
      problems.push(`${call}: code ${last.code}, expected ${step.codes.join(' or ')}`);
    }
  });
  limit(step.firstByteWithinMs, 'the first byte', ({ firstByteMs }) => firstByteMs);
  limit(step.answeredWithinMs, 'the answer', ({ totalMs }) => totalMs);
  limit(step.answeredAfterMs, 'the answer', ({ totalMs }) => totalMs, true);
  limit(step.maxGapMs, 'the longest silence', ({ maxGapMs }) => maxGapMs);
  const attempts = results.reduce((sum, result) => sum + result.attempts.length, 0);
  if (attempts > (step.maxAttempts ?? Infinity)) {
    problems.push(`${attempts} attempts were made, at most ${step.maxAttempts} expected`);
  }
  return problems;
}
