import test from 'ava';
import { createServiceTimeEstimator } from '../../src/admission/createServiceTimeEstimator.js';
import { asId } from '../../src/ids/asId.js';
import { createManualClock } from '../createManualClock.js';
import { createFakeRequest } from '../support/createFakeRequest.js';

const fast = asId<never>('fast');
const slow = asId<never>('slow');

test('estimates scale with the prompt and the output limit and are kept per server', (t) => {
  const estimator = createServiceTimeEstimator(createManualClock());
  const request = createFakeRequest({ promptTokens: 100, maxOutputTokens: 100 });
  const observation = { request, outputEvents: 50 };
  estimator.observe({ ...observation, serverId: fast, firstTokenMs: 100, decodeMs: 500 });
  estimator.observe({ ...observation, serverId: slow, firstTokenMs: 300, decodeMs: 1_500 });
  const longer = createFakeRequest({ promptTokens: 200, maxOutputTokens: 400 });
  t.deepEqual(estimator.estimate(longer, [fast]), {
    firstTokenMs: 200,
    firstTokenDeviationMs: 0,
    totalMs: 2_200,
  });
  t.deepEqual(estimator.estimate(longer, [slow]), {
    firstTokenMs: 600,
    firstTokenDeviationMs: 0,
    totalMs: 6_600,
  });
  t.deepEqual(estimator.estimate(longer, [fast, slow]), {
    firstTokenMs: 400,
    firstTokenDeviationMs: 0,
    totalMs: 4_400,
  });
});

test('an estimate expires, so that a wrong one cannot cause the permanent rejection of all requests', async (t) => {
  const clock = createManualClock();
  const estimator = createServiceTimeEstimator(clock);
  const request = createFakeRequest();
  estimator.observe({ request, serverId: fast, firstTokenMs: 9e9, decodeMs: 1, outputEvents: 1 });
  t.not(estimator.estimate(request, [fast]), undefined);
  await clock.advance(10_001);
  t.is(estimator.estimate(request, [fast]), undefined);
});

test('observations of one rank do not change the estimate of the other', (t) => {
  const estimator = createServiceTimeEstimator(createManualClock());
  const request = createFakeRequest({ rank: 'patient' });
  estimator.observe({ request, serverId: fast, firstTokenMs: 9, decodeMs: 1, outputEvents: 1 });
  t.is(estimator.estimate(createFakeRequest(), [fast]), undefined);
});

test('varying first-token times increase the deviation as well as the mean', (t) => {
  const estimator = createServiceTimeEstimator(createManualClock());
  const request = createFakeRequest();
  const observation = { request, serverId: fast, decodeMs: 100, outputEvents: 50 };
  estimator.observe({ ...observation, firstTokenMs: 100 });
  estimator.observe({ ...observation, firstTokenMs: 300 });
  const estimate = estimator.estimate(request, [fast]);
  t.is(Math.round(estimate?.firstTokenMs ?? 0), 120);
  t.is(Math.round(estimate?.firstTokenDeviationMs ?? 0), 20);
});
