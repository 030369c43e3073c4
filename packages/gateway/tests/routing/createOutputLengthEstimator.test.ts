import test from 'ava';
import { createOutputLengthEstimator } from '../../src/index.js';
import type { OutputQuery } from '../../src/index.js';
import { buildRequestMetadata, buildRoute, buildService } from '../support/builders.js';

function queryOf(expectedOutputTokens: number | undefined): OutputQuery {
  return {
    route: buildRoute(),
    service: buildService({ tokensPerEvent: 6 }),
    metadata: buildRequestMetadata({ expectedOutputTokens }),
  };
}

function trainedEstimator() {
  const estimator = createOutputLengthEstimator();
  for (let responses = 0; responses < 100; responses += 1) {
    estimator.recordResponse(buildRoute(), 25);
  }
  return estimator;
}

test("before the first response the caller's estimate is used, up to the maximum output", (t) => {
  const estimator = createOutputLengthEstimator();
  t.is(estimator.expectedEvents(queryOf(60)), 10);
  t.is(estimator.expectedEvents(queryOf(9_000)), 100);
  t.is(estimator.expectedEvents(queryOf(undefined)), 50);
});

// With the unmodified estimates, callers with the largest estimates were rejected four times as often
// as others, although half of their responses had ordinary length.
test('extreme estimates are adjusted towards the typical length for the route', (t) => {
  const estimator = trainedEstimator();
  t.is(Math.round(estimator.expectedEvents(queryOf(600))), 50);
  t.is(Math.round(estimator.expectedEvents(queryOf(24))), 10);
  t.is(Math.round(estimator.expectedEvents(queryOf(undefined))), 25);
  t.is(Math.round(estimator.typicalEvents(queryOf(600))), 25);
});

test('a service that is not a model has no expected events', (t) => {
  const query = { ...queryOf(60), service: buildService({ kvCapacityTokens: undefined }) };
  t.is(trainedEstimator().expectedEvents(query), 0);
  t.is(trainedEstimator().typicalEvents(query), 0);
});
