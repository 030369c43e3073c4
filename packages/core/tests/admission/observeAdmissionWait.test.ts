import test from 'ava';
import type { AdmissionController } from '../../src/admission/AdmissionController.js';
import { createAdmitAll } from '../../src/admission/createAdmitAll.js';
import { observeAdmissionWait } from '../../src/admission/observeAdmissionWait.js';
import { OverloadedError } from '../../src/errors/OverloadedError.js';
import { createWaitCorrection } from '../../src/routing/createWaitCorrection.js';
import { createRequest } from '../routing/fixtures.js';

const entry = { request: createRequest({ rank: 'patient' }), retry: false, reserveSlot: () => 'a' };
const noSignal = new AbortController().signal;

async function recordedWaitMs(
  admit: AdmissionController['admit'],
  admissionMs: number,
): Promise<number> {
  let nowMs = 0;
  const clock = { nowMs: () => nowMs, monotonicMs: () => nowMs, sleep: async () => {} };
  const waits = createWaitCorrection();
  const slow: AdmissionController = {
    ...createAdmitAll(),
    admit: (...args) => {
      nowMs += admissionMs;
      return admit(...args);
    },
  };
  const observed = observeAdmissionWait(slow, clock, waits);
  await observed.admit(entry, noSignal).catch(() => undefined);
  return waits.waitMs('patient', nowMs);
}

test('the wait in the admission queue is recorded as a wait in the region', async (t) => {
  t.true((await recordedWaitMs(createAdmitAll().admit, 10_000)) > 1_000);
  t.is(await recordedWaitMs(createAdmitAll().admit, 0), 0);
});

test('an immediate rejection is not recorded as a wait of zero', async (t) => {
  const reject: AdmissionController['admit'] = async () => {
    throw new OverloadedError('full', { props: { retryAfterMs: 10_000 } });
  };
  t.true((await recordedWaitMs(reject, 0)) > 1_000);
});
