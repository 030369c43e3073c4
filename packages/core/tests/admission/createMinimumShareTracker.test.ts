import test from 'ava';
import fc from 'fast-check';
import { createMinimumShareTracker } from '../../src/admission/createMinimumShareTracker.js';

const MAX_COST = 100;
const costArbitrary = fc.integer({ min: 1, max: MAX_COST });

test('patient work that waits keeps its share of dispatched cost during an urgent flood', (t) => {
  fc.assert(
    fc.property(
      fc.double({ min: 0.01, max: 0.99, noNaN: true }),
      fc.array(fc.tuple(costArbitrary, costArbitrary), { maxLength: 200 }),
      (share, costs) => {
        const keeper = createMinimumShareTracker();
        let patient = 0;
        let urgent = 0;
        costs.forEach(([urgentCost, patientCost]) => {
          if (keeper.mustDispatchPatient()) {
            keeper.recordDispatch('patient', patientCost, true, share);
            patient += patientCost;
          } else {
            keeper.recordDispatch('urgent', urgentCost, true, share);
            urgent += urgentCost;
          }
          const missing = share * (patient + urgent) - patient;
          t.true(missing <= share * MAX_COST + 1e-6, `missing ${missing}`);
          // Urgent work keeps the rest, so that the share is not exceeded either.
          t.true(missing >= -(1 - share) * MAX_COST - 1e-6, `missing ${missing}`);
        });
      },
    ),
  );
});

test('urgent work dispatched while nothing patient waits earns no later burst', (t) => {
  const keeper = createMinimumShareTracker();
  for (let count = 0; count < 1000; count += 1) {
    keeper.recordDispatch('urgent', 100, false, 0.1);
  }
  t.false(keeper.mustDispatchPatient());
});

test('patient work that found free places is not held against its share later', (t) => {
  const keeper = createMinimumShareTracker();
  keeper.recordDispatch('patient', 1_000_000, true, 0.1);
  keeper.recordDispatch('urgent', 10, true, 0.1);
  t.true(keeper.mustDispatchPatient());
});
