import test from 'ava';
import type { RunSummary } from '../../src/report/RunSummary.js';
import { summarizeRun } from '../../src/report/summarizeRun.js';
import { runRoutingExperiment } from '../../src/routing/runRoutingExperiment.js';
import { drawArrivals } from '../../src/workload/drawArrivals.js';
import { smallWorkload } from '../smallWorkload.js';

const SEED = 5;

async function run(caseName: string, route: string, spill: string): Promise<RunSummary> {
  const workload = await smallWorkload('gremio');
  const workloadCase = workload.cases[caseName] ?? { floods: [], faults: [] };
  const arrivals = drawArrivals(workload, workloadCase, SEED);
  const policy = { name: `${route}/${spill}`, route, spill, admission: 'all' };
  const options = { workload, workloadCase, arrivals, policy, seed: SEED };
  return summarizeRun(workload, caseName, SEED, await runRoutingExperiment(options));
}

test('the same seed gives the same result, so that policies can be compared', async (t) => {
  const first = await run('ordinary-peak', 'first-token', 'when-it-pays');
  t.deepEqual(await run('ordinary-peak', 'first-token', 'when-it-pays'), first);
});

test('the first-token chooser has a higher cache hit ratio than a random choice', async (t) => {
  const firstToken = await run('ordinary-peak', 'first-token', 'never');
  const random = await run('ordinary-peak', 'random', 'never');
  t.true(firstToken.cacheHitRatio > random.cacheHitRatio);
});

test('every request finishes when a region is cut off', async (t) => {
  const cut = await run('region-cut', 'first-token', 'least-loaded');
  const uncut = await run('ordinary-peak', 'first-token', 'least-loaded');
  const requests = ({ classes }: RunSummary): number =>
    classes.urgent.requests + classes.patient.requests;
  t.is(requests(cut), requests(uncut));
  t.true(cut.spilledRatio > 0);
});
