import test from 'ava';
import { createServiceTimeEstimator } from '../../src/admission/createServiceTimeEstimator.js';
import { asId } from '../../src/ids/asId.js';
import { createManualClock } from '../createManualClock.js';
import { fakeRequest } from '../fakeRequest.js';

const fast = asId<never>('fast');
const slow = asId<never>('slow');

test('times scale with the prompt and the output limit and differ by server', (t) => {
  const estimator = createServiceTimeEstimator(createManualClock());
  const request = fakeRequest({ promptTokens: 100, maxOutputTokens: 100 });
  const seen = { request, outputEvents: 50 };
  estimator.observe({ ...seen, serverId: fast, firstTokenMs: 100, decodeMs: 500 });
  estimator.observe({ ...seen, serverId: slow, firstTokenMs: 300, decodeMs: 1_500 });
  const longer = fakeRequest({ promptTokens: 200, maxOutputTokens: 400 });
  t.deepEqual(estimator.estimate(longer, [fast]), { firstTokenMs: 200, totalMs: 2_200 });
  t.deepEqual(estimator.estimate(longer, [slow]), { firstTokenMs: 600, totalMs: 6_600 });
  t.deepEqual(estimator.estimate(longer, [fast, slow]), { firstTokenMs: 400, totalMs: 4_400 });
});

test('an old estimate expires, so that a bad one cannot refuse all requests for good', async (t) => {
  const clock = createManualClock();
  const estimator = createServiceTimeEstimator(clock);
  const request = fakeRequest();
  estimator.observe({ request, serverId: fast, firstTokenMs: 9e9, decodeMs: 1, outputEvents: 1 });
  t.not(estimator.estimate(request, [fast]), undefined);
  await clock.advance(10_001);
  t.is(estimator.estimate(request, [fast]), undefined);
});

test('answers of one rank do not change the estimate of the other', (t) => {
  const estimator = createServiceTimeEstimator(createManualClock());
  const request = fakeRequest({ rank: 'patient' });
  estimator.observe({ request, serverId: fast, firstTokenMs: 9, decodeMs: 1, outputEvents: 1 });
  t.is(estimator.estimate(fakeRequest(), [fast]), undefined);
});
