import test from 'ava';
import { runCapacity } from '../../src/capacity/runCapacity.js';

// Guards against a measurement that fails, or measures nothing, after a change of the core package.
test('measurements of the smallest size are finite and positive', async (t) => {
  const measurements = await runCapacity('small');
  const values = measurements.flatMap(({ subject, unit, points }) =>
    points.map(({ size, value }) => ({ subject, unit, size, value })),
  );
  t.true(values.length >= measurements.length && measurements.length > 0);
  values.forEach((point) => {
    t.true(Number.isFinite(point.value) && point.value > 0, JSON.stringify(point));
  });
});
