import test from 'ava';
import { createFifoAdmission } from '../../src/admission/createFifoAdmission.js';
import { createFakeRequest } from '../support/createFakeRequest.js';
import { createManualClock } from '../createManualClock.js';

test('a request whose caller has already left gets no slot and does not wait', async (t) => {
  const admission = createFifoAdmission({ clock: createManualClock(), dispatchLimit: () => 1 });
  let reserved = 0;
  const admitted = admission.admit(
    {
      request: createFakeRequest(),
      retry: false,
      reserveSlot() {
        reserved += 1;
        return {};
      },
    },
    AbortSignal.abort(),
  );
  await t.throwsAsync(admitted, { any: true, instanceOf: DOMException, name: 'AbortError' });
  t.is(reserved, 0);
  t.is(admission.queuedRequests(), 0);
});
