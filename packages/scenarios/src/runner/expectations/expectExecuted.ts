import type { ExpectationOf } from '../../language/Step.js';
import type { ScenarioContext } from '../ScenarioContext.js';

async function countRuns(context: ScenarioContext): Promise<Map<string, number>> {
  const { deployment } = context;
  const servers = [...deployment.processes.values()].filter(
    ({ kind }) => kind === 'engine' || kind === 'ordering',
  );
  const records = await Promise.all(servers.map(({ name }) => deployment.recordsOf(name)));
  const counts = new Map<string, number>();
  records.flat().forEach((record) => {
    if (record.kind === 'executed' && record.call !== undefined) {
      counts.set(record.call, (counts.get(record.call) ?? 0) + 1);
    }
  });
  return counts;
}

/** Checks how many times the calls of a `send` step ran at backend servers. */
export async function expectExecuted(
  context: ScenarioContext,
  step: ExpectationOf<'executed'>,
): Promise<string[]> {
  const group = context.callGroups.get(step.calls);
  await group?.done;
  const counts = await countRuns(context);
  const calls = group?.calls ?? [];
  const completed = new Set(
    group?.results.filter(({ last }) => last.label === 'complete').map(({ call }) => call),
  );
  const runsOf = (call: string): number => counts.get(call) ?? 0;
  const each = calls.flatMap((call) => {
    const { atLeast = 0, atMost = Infinity } = step.each ?? {};
    const runs = runsOf(call);
    const violated = runs < atLeast || runs > atMost;
    return violated ? [`${call} ran ${runs} times, expected ${atLeast} to ${atMost}`] : [];
  });
  const total = calls.reduce((sum, call) => sum + runsOf(call), 0);
  const { atLeast = 0, atMost = Infinity } = step.total ?? {};
  const totalViolated = total < atLeast || total > atMost;
  const completedWithoutRun = calls.filter(
    (call) => step.completedRan === true && completed.has(call) && runsOf(call) === 0,
  );
  return [
    ...each,
    ...(totalViolated ? [`${total} runs of ${step.calls}, expected ${atLeast} to ${atMost}`] : []),
    ...completedWithoutRun.map((call) => `${call} was reported complete but did not run`),
  ];
}
