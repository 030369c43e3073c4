import test from 'ava';
import fc from 'fast-check';
import { createMinimumShareTracker } from '../../src/admission/createMinimumShareTracker.js';

const MAX_COST = 100;
const costArbitrary = fc.integer({ min: 1, max: MAX_COST });

test('waiting patient requests keep their share of dispatched cost during an urgent overload', (t) => {
  fc.assert(
    fc.property(
      fc.double({ min: 0.01, max: 0.99, noNaN: true }),
      fc.array(fc.tuple(costArbitrary, costArbitrary), { maxLength: 200 }),
      (share, costs) => {
        const tracker = createMinimumShareTracker();
        let dispatchedPatientCost = 0;
        let dispatchedUrgentCost = 0;
        costs.forEach(([urgentCost, patientCost]) => {
          if (tracker.mustDispatchPatient()) {
            tracker.recordDispatch('patient', patientCost, true, share);
            dispatchedPatientCost += patientCost;
          } else {
            tracker.recordDispatch('urgent', urgentCost, true, share);
            dispatchedUrgentCost += urgentCost;
          }
          const missing =
            share * (dispatchedPatientCost + dispatchedUrgentCost) - dispatchedPatientCost;
          t.true(missing <= share * MAX_COST + 1e-6, `missing ${missing}`);
          // The patient share is not exceeded either: urgent requests keep the rest.
          t.true(missing >= -(1 - share) * MAX_COST - 1e-6, `missing ${missing}`);
        });
      },
    ),
  );
});

test('urgent dispatches earn no credit while no patient request waits', (t) => {
  const tracker = createMinimumShareTracker();
  for (let count = 0; count < 1000; count += 1) {
    tracker.recordDispatch('urgent', 100, false, 0.1);
  }
  t.false(tracker.mustDispatchPatient());
});

test('a patient dispatch without credit does not reduce the later share', (t) => {
  const tracker = createMinimumShareTracker();
  tracker.recordDispatch('patient', 1_000_000, true, 0.1);
  tracker.recordDispatch('urgent', 10, true, 0.1);
  t.true(tracker.mustDispatchPatient());
});
