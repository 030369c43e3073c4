import test from 'ava';
import { UnknownChoiceError } from '../../src/errors/UnknownChoiceError.js';
import { runBench } from '../../src/experiment/runBench.js';
import { smallWorkload } from '../smallWorkload.js';

const caseNames = ['ordinary-peak', 'urgent-flood', 'server-loss'];
const policyNames = ['baseline', 'baseline+route=random+spill=when-full'];

test('the same seed gives the same result, so that policies can be compared', async (t) => {
  const workload = await smallWorkload('gremio');
  const options = { workload, caseNames, policyNames, seeds: [7] };
  const first = await runBench(options);
  t.deepEqual(await runBench(options), first);
  const other = await runBench({ ...options, seeds: [8] });
  t.notDeepEqual(
    other.map(({ classes }) => classes),
    first.map(({ classes }) => classes),
  );
});

test('policies of a case get the same requests, and none is both good and failed', async (t) => {
  const workload = await smallWorkload('comedouros');
  const runs = await runBench({ workload, caseNames, policyNames, seeds: [3] });
  const requestsOf = (index: number): number[] =>
    Object.values(runs[index]?.classes ?? {}).map(({ requests }) => requests);
  runs.forEach((run, index) => {
    // All policies of one case see the same arrivals.
    t.deepEqual(requestsOf(index), requestsOf(index - (index % policyNames.length)));
    Object.values(run.classes).forEach(({ requests, good, errors }) => {
      const failed = Object.values(errors).reduce((sum, count) => sum + count, 0);
      t.true(requests > 0 && good + failed <= requests);
    });
  });
});

test('an unknown policy, part or case is rejected instead of being ignored', async (t) => {
  const workload = await smallWorkload('gremio');
  const run = (policy: string, caseName: string): Promise<unknown> =>
    runBench({ workload, caseNames: [caseName], policyNames: [policy], seeds: [1] });
  await t.throwsAsync(run('fast', 'ordinary-peak'), { instanceOf: UnknownChoiceError });
  await t.throwsAsync(run('baseline+route=fast', 'ordinary-peak'), {
    instanceOf: UnknownChoiceError,
  });
  await t.throwsAsync(run('baseline', 'eclipse'), { instanceOf: UnknownChoiceError });
});
