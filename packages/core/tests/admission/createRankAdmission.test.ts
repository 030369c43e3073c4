import test from 'ava';
import fc from 'fast-check';
import type { AdmissionController } from '../../src/admission/AdmissionController.js';
import { createRankAdmission } from '../../src/admission/createRankAdmission.js';
import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import { OverloadedError } from '../../src/errors/OverloadedError.js';
import { asId } from '../../src/ids/asId.js';
import type { InferenceRequest } from '../../src/requests/InferenceRequest.js';
import type { ManualClock } from '../createManualClock.js';
import { createManualClock } from '../createManualClock.js';
import { createFakeRequest } from '../support/createFakeRequest.js';
import { createFakeServer } from '../support/createFakeServer.js';

const patient = { rank: 'patient', firstTokenDueAtMs: 30_000, deadlineAtMs: 300_000 } as const;

interface TestAdmission {
  readonly clock: ManualClock;
  readonly admission: AdmissionController;
  /** Dispatched requests, in order of dispatch. */
  readonly dispatched: InferenceRequest[];
  inFlight(): number;
  admit(
    request: InferenceRequest,
    options?: { readonly signal?: AbortSignal; readonly retry?: boolean },
  ): Promise<unknown>;
  /** Releases one slot. */
  release(): void;
  /** Reports the service time of a completed request. */
  observe(request: InferenceRequest, firstTokenMs: number, decodeMs: number): void;
}

/** Creates the admission controller of one entry host for one server with the given slots. */
function createTestAdmission(slots: number): TestAdmission {
  const clock = createManualClock();
  const dispatched: InferenceRequest[] = [];
  let inFlight = 0;
  const server = (): ReturnType<typeof createFakeServer> =>
    createFakeServer({ ownInFlightRequests: inFlight }, { maxConcurrentRequests: slots });
  const admission = createRankAdmission({
    clock,
    servers: () => [server()],
    dispatchLimit: () => slots,
  });
  return {
    clock,
    admission,
    dispatched,
    inFlight: () => inFlight,
    admit: (request, { signal, retry = false } = {}) =>
      admission.admit(
        {
          request,
          retry,
          reserveSlot(hasFreeSlot) {
            if (!hasFreeSlot(server())) {
              return undefined;
            }
            inFlight += 1;
            dispatched.push(request);
            return request;
          },
        },
        signal ?? new AbortController().signal,
      ),
    release() {
      inFlight -= 1;
      admission.onSlotReleased();
    },
    observe: (request, firstTokenMs, decodeMs) =>
      admission.observe({
        request,
        serverId: asId('s'),
        firstTokenMs,
        decodeMs,
        outputEvents: request.maxOutputTokens,
      }),
  };
}

test('urgent requests are dispatched before patient requests that arrived earlier', async (t) => {
  const subject = createTestAdmission(1);
  const first = createFakeRequest();
  const second = createFakeRequest();
  const patientRequest = createFakeRequest(patient);
  const waits = [first, patientRequest, second].map((request) => subject.admit(request));
  subject.release();
  subject.release();
  await Promise.all(waits);
  t.deepEqual(subject.dispatched, [first, second, patientRequest]);
});

test('patient requests keep their minimum share of tokens during an urgent overload', async (t) => {
  const subject = createTestAdmission(1);
  const settings = fleetDefaultsSchema.parse({ admission: { patientMinimumShareRatio: 0.25 } });
  const waits = Array.from({ length: 41 }, () => subject.admit(createFakeRequest({ settings })));
  waits.push(
    ...Array.from({ length: 41 }, () => subject.admit(createFakeRequest({ ...patient, settings }))),
  );
  for (let count = 0; count < 40; count += 1) {
    subject.release();
  }
  t.is(subject.dispatched.filter(({ rank }) => rank === 'patient').length, 10);
  for (let count = 0; count < 41; count += 1) {
    subject.release();
  }
  await Promise.all(waits);
});

test('a request that cannot meet its target is rejected on arrival with a retry delay', async (t) => {
  const subject = createTestAdmission(1);
  subject.observe(createFakeRequest(), 400, 600);
  const waits = [1, 2].map(() => subject.admit(createFakeRequest()));
  const error = await t.throwsAsync(
    subject.admit(createFakeRequest({ firstTokenDueAtMs: 1_300 })),
    {
      instanceOf: OverloadedError,
    },
  );
  const { outcome, statusCode, retryAfterMs } = error as InstanceType<typeof OverloadedError>;
  t.deepEqual([outcome, statusCode, retryAfterMs], ['not-run', 429, 1_000]);
  subject.release();
  await Promise.all(waits);
});

test('a request is rejected if its deadline is shorter than the estimated service time', async (t) => {
  const subject = createTestAdmission(1);
  subject.observe(createFakeRequest(), 400, 600);
  await t.throwsAsync(subject.admit(createFakeRequest({ deadlineAtMs: 900 })), {
    instanceOf: OverloadedError,
  });
  await subject.admit(createFakeRequest({ deadlineAtMs: 1_100 }));
});

test('a waiting request that can no longer meet its target is evicted and never dispatched', async (t) => {
  const subject = createTestAdmission(1);
  subject.observe(createFakeRequest(), 400, 600);
  await subject.admit(createFakeRequest());
  const waiting = t.throwsAsync(subject.admit(createFakeRequest()), {
    instanceOf: OverloadedError,
  });
  await subject.clock.advance(1_340);
  await waiting;
  subject.release();
  t.is(subject.dispatched.length, 1);
  t.is(subject.admission.queuedRequests(), 0);
});

test('a request is removed from the queue when its caller disconnects', async (t) => {
  const subject = createTestAdmission(1);
  await subject.admit(createFakeRequest());
  const caller = new AbortController();
  const waiting = subject.admit(createFakeRequest(), { signal: caller.signal });
  caller.abort(new TypeError('disconnected'));
  await t.throwsAsync(waiting, { instanceOf: TypeError });
  subject.release();
  t.is(subject.dispatched.length, 1);
  t.is(subject.admission.queuedRequests(), 0);
});

test('an error while reserving a slot rejects the request and does not block the queue', async (t) => {
  const subject = createTestAdmission(1);
  const { signal } = new AbortController();
  const reserveSlot = (): never => {
    throw new TypeError('no server');
  };
  await t.throwsAsync(
    subject.admission.admit({ request: createFakeRequest(), retry: false, reserveSlot }, signal),
    {
      instanceOf: TypeError,
    },
  );
  await subject.admit(createFakeRequest());
  t.is(subject.admission.queuedRequests(), 0);
});

test('a request for a model without a free slot does not block other models', async (t) => {
  const subject = createTestAdmission(1);
  const { signal } = new AbortController();
  const blocked = createFakeRequest({ model: 'other' });
  const waiting = subject.admission.admit(
    { request: blocked, retry: false, reserveSlot: () => undefined },
    signal,
  );
  await subject.admit(createFakeRequest());
  t.is(subject.dispatched.length, 1);
  t.is(subject.admission.queuedRequests(), 1);
  void waiting;
});

test('the timer detects a slot that becomes free without a release', async (t) => {
  const clock = createManualClock();
  let limit = 0;
  const admission = createRankAdmission({
    clock,
    servers: () => [createFakeServer()],
    dispatchLimit: () => limit,
  });
  const { signal } = new AbortController();
  const waiting = admission.admit(
    {
      request: createFakeRequest(),
      retry: false,
      reserveSlot: (hasFreeSlot) => (hasFreeSlot(createFakeServer()) ? 'dispatched' : undefined),
    },
    signal,
  );
  limit = 1;
  await clock.advance(50);
  t.is(await waiting, 'dispatched');
});

test('every request is dispatched, rejected or cancelled exactly once, within all bounds', async (t) => {
  const settings = fleetDefaultsSchema.parse({
    admission: { maxQueuedRequests: 5, maxQueuedTokens: 1_500 },
  });
  const stepArbitrary = fc.record({
    kind: fc.constantFrom('admit', 'admit', 'admit', 'release', 'cancel', 'wait'),
    rank: fc.constantFrom('urgent' as const, 'patient' as const),
    customer: fc.constantFrom('a', 'b', 'c'),
    promptTokens: fc.integer({ min: 1, max: 500 }),
    retry: fc.boolean(),
    at: fc.nat(),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(stepArbitrary, { maxLength: 60 }), async (steps) => {
      const subject = createTestAdmission(2);
      subject.observe(createFakeRequest(), 100, 200);
      const controllers: AbortController[] = [];
      const results: Promise<string>[] = [];
      for (const step of steps) {
        if (step.kind === 'admit') {
          const controller = new AbortController();
          controllers.push(controller);
          const request = createFakeRequest({
            settings,
            rank: step.rank,
            customerId: asId(step.customer),
            promptTokens: step.promptTokens,
            firstTokenDueAtMs: subject.clock.monotonicMs() + 1_700,
            deadlineAtMs: subject.clock.monotonicMs() + 10_000,
          });
          results.push(
            subject.admit(request, { signal: controller.signal, retry: step.retry }).then(
              () => 'dispatched',
              (error: unknown) => (error instanceof OverloadedError ? 'rejected' : 'cancelled'),
            ),
          );
        } else if (step.kind === 'release' && subject.inFlight() > 0) {
          subject.release();
        } else if (step.kind === 'cancel') {
          controllers[step.at % Math.max(1, controllers.length)]?.abort(
            new TypeError('disconnected'),
          );
        } else if (step.kind === 'wait') {
          await subject.clock.advance(step.at % 400);
        }
        t.true(subject.inFlight() <= 2);
        t.true(subject.admission.queuedRequests() <= 10);
      }
      while (subject.inFlight() > 0 || subject.admission.queuedRequests() > 0) {
        subject.release();
      }
      const settled = await Promise.all(results);
      t.is(settled.filter((result) => result === 'dispatched').length, subject.dispatched.length);
      t.is(new Set(subject.dispatched).size, subject.dispatched.length);
    }),
    { numRuns: 60 },
  );
});
