import test from 'ava';
import type { AdmissionController } from '../../src/admission/AdmissionController.js';
import { createAdmitAll } from '../../src/admission/createAdmitAll.js';
import { observeAdmissionWait } from '../../src/admission/observeAdmissionWait.js';
import { OverloadedError } from '../../src/errors/OverloadedError.js';
import { createWaitCorrection } from '../../src/routing/createWaitCorrection.js';
import { createRequest } from '../routing/fixtures.js';

const entry = { request: createRequest({ rank: 'patient' }), retry: false, reserveSlot: () => 'a' };
const noSignal = new AbortController().signal;

async function waitAfter(admit: AdmissionController['admit'], tookMs: number): Promise<number> {
  let nowMs = 0;
  const clock = { nowMs: () => nowMs, monotonicMs: () => nowMs, sleep: async () => {} };
  const waits = createWaitCorrection();
  const slow: AdmissionController = {
    ...createAdmitAll(),
    admit: (...args) => {
      nowMs += tookMs;
      return admit(...args);
    },
  };
  const observed = observeAdmissionWait(slow, clock, waits);
  await observed.admit(entry, noSignal).catch(() => undefined);
  return waits.waitMs('patient', nowMs);
}

test('a long queue at the own entry host counts as a wait in the region', async (t) => {
  t.true((await waitAfter(createAdmitAll().admit, 10_000)) > 1_000);
  t.is(await waitAfter(createAdmitAll().admit, 0), 0);
});

test('refusals at once do not look like a region without queue', async (t) => {
  const refuse: AdmissionController['admit'] = async () => {
    throw new OverloadedError('full', { props: { retryAfterMs: 10_000 } });
  };
  t.true((await waitAfter(refuse, 0)) > 1_000);
});
