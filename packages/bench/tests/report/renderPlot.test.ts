import test from 'ava';
import { runBench } from '../../src/experiment/runBench.js';
import { formatTable } from '../../src/report/formatTable.js';
import { renderPlot } from '../../src/report/renderPlot.js';
import { smallWorkload } from '../smallWorkload.js';

test('table and plot show every run, and the plot contains no invalid values', async (t) => {
  const workload = await smallWorkload('gremio');
  const runs = await runBench({
    workload,
    caseNames: ['ordinary-peak'],
    policyNames: ['baseline', 'current'],
    seeds: [1],
  });
  const table = formatTable(runs).split('\n');
  t.is(table.length, 4);
  t.is(new Set(table.map((line) => line.length)).size, 1, 'columns are aligned');
  const plot = renderPlot(runs);
  t.is(plot.match(/<rect x/g)?.length, 8);
  t.notRegex(plot, /NaN|undefined|Infinity/);
});
