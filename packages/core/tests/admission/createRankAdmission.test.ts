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

interface Rig {
  readonly clock: ManualClock;
  readonly admission: AdmissionController;
  /** Requests placed, in order. */
  readonly placed: InferenceRequest[];
  inFlight(): number;
  admit(
    request: InferenceRequest,
    options?: { readonly signal?: AbortSignal; readonly retry?: boolean },
  ): Promise<unknown>;
  /** Frees one place. */
  release(): void;
  learn(request: InferenceRequest, firstTokenMs: number, decodeMs: number): void;
}

/** Admission in front of one server with a number of places, owned by one entry host. */
function createRig(places: number): Rig {
  const clock = createManualClock();
  const placed: InferenceRequest[] = [];
  let inFlight = 0;
  const server = (): ReturnType<typeof createFakeServer> =>
    createFakeServer({ ownInFlightRequests: inFlight }, { maxConcurrentRequests: places });
  const admission = createRankAdmission({
    clock,
    servers: () => [server()],
    dispatchLimit: () => places,
  });
  return {
    clock,
    admission,
    placed,
    inFlight: () => inFlight,
    admit: (request, { signal, retry = false } = {}) =>
      admission.admit(
        {
          request,
          retry,
          reserveSlot(hasRoom) {
            if (!hasRoom(server())) {
              return undefined;
            }
            inFlight += 1;
            placed.push(request);
            return request;
          },
        },
        signal ?? new AbortController().signal,
      ),
    release() {
      inFlight -= 1;
      admission.onSlotReleased();
    },
    learn: (request, firstTokenMs, decodeMs) =>
      admission.observe({
        request,
        serverId: asId('s'),
        firstTokenMs,
        decodeMs,
        outputEvents: request.maxOutputTokens,
      }),
  };
}

test('urgent requests go before patient ones that came earlier', async (t) => {
  const rig = createRig(1);
  const first = createFakeRequest();
  const late = createFakeRequest();
  const draft = createFakeRequest(patient);
  const waits = [first, draft, late].map((request) => rig.admit(request));
  rig.release();
  rig.release();
  await Promise.all(waits);
  t.deepEqual(rig.placed, [first, late, draft]);
});

test('patient work keeps its minimum share of tokens during an urgent flood', async (t) => {
  const rig = createRig(1);
  const settings = fleetDefaultsSchema.parse({ admission: { patientMinimumShareRatio: 0.25 } });
  const waits = Array.from({ length: 41 }, () => rig.admit(createFakeRequest({ settings })));
  waits.push(
    ...Array.from({ length: 41 }, () => rig.admit(createFakeRequest({ ...patient, settings }))),
  );
  for (let count = 0; count < 40; count += 1) {
    rig.release();
  }
  t.is(rig.placed.filter(({ rank }) => rank === 'patient').length, 10);
  for (let count = 0; count < 41; count += 1) {
    rig.release();
  }
  await Promise.all(waits);
});

test('a request that cannot make its target is refused at once and told when to return', async (t) => {
  const rig = createRig(1);
  rig.learn(createFakeRequest(), 400, 600);
  const waits = [1, 2].map(() => rig.admit(createFakeRequest()));
  const error = await t.throwsAsync(rig.admit(createFakeRequest({ firstTokenDueAtMs: 1_300 })), {
    instanceOf: OverloadedError,
  });
  const { outcome, statusCode, retryAfterMs } = error as InstanceType<typeof OverloadedError>;
  t.deepEqual([outcome, statusCode, retryAfterMs], ['not-run', 429, 1_000]);
  rig.release();
  await Promise.all(waits);
});

test('a request is refused when its deadline is shorter than the learned service time', async (t) => {
  const rig = createRig(1);
  rig.learn(createFakeRequest(), 400, 600);
  await t.throwsAsync(rig.admit(createFakeRequest({ deadlineAtMs: 900 })), {
    instanceOf: OverloadedError,
  });
  await rig.admit(createFakeRequest({ deadlineAtMs: 1_100 }));
});

test('a waiting request that can no longer make its target is dropped and never placed', async (t) => {
  const rig = createRig(1);
  rig.learn(createFakeRequest(), 400, 600);
  await rig.admit(createFakeRequest());
  const waiting = t.throwsAsync(rig.admit(createFakeRequest()), { instanceOf: OverloadedError });
  await rig.clock.advance(1_340);
  await waiting;
  rig.release();
  t.is(rig.placed.length, 1);
  t.is(rig.admission.queuedRequests(), 0);
});

test('a caller that leaves takes its request out of the queue', async (t) => {
  const rig = createRig(1);
  await rig.admit(createFakeRequest());
  const leaving = new AbortController();
  const waiting = rig.admit(createFakeRequest(), { signal: leaving.signal });
  leaving.abort(new TypeError('left'));
  await t.throwsAsync(waiting, { instanceOf: TypeError });
  rig.release();
  t.is(rig.placed.length, 1);
  t.is(rig.admission.queuedRequests(), 0);
});

test('a failure while placing ends the wait instead of blocking the queue', async (t) => {
  const rig = createRig(1);
  const { signal } = new AbortController();
  const place = (): never => {
    throw new TypeError('no server');
  };
  await t.throwsAsync(
    rig.admission.admit({ request: createFakeRequest(), retry: false, reserveSlot: place }, signal),
    {
      instanceOf: TypeError,
    },
  );
  await rig.admit(createFakeRequest());
  t.is(rig.admission.queuedRequests(), 0);
});

test('a request for a model without a place does not block other models', async (t) => {
  const rig = createRig(1);
  const { signal } = new AbortController();
  const stuck = createFakeRequest({ model: 'other' });
  const waiting = rig.admission.admit(
    { request: stuck, retry: false, reserveSlot: () => undefined },
    signal,
  );
  await rig.admit(createFakeRequest());
  t.is(rig.placed.length, 1);
  t.is(rig.admission.queuedRequests(), 1);
  void waiting;
});

test('a place that becomes free without a release is found by the timer', async (t) => {
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
      reserveSlot: (hasRoom) => (hasRoom(createFakeServer()) ? 'placed' : undefined),
    },
    signal,
  );
  limit = 1;
  await clock.advance(50);
  t.is(await waiting, 'placed');
});

test('every request is placed, refused or withdrawn exactly once, within all bounds', async (t) => {
  const settings = fleetDefaultsSchema.parse({
    admission: { maxQueuedRequests: 5, maxQueuedTokens: 1_500 },
  });
  const stepArbitrary = fc.record({
    kind: fc.constantFrom('admit', 'admit', 'admit', 'release', 'leave', 'wait'),
    rank: fc.constantFrom('urgent' as const, 'patient' as const),
    customer: fc.constantFrom('a', 'b', 'c'),
    promptTokens: fc.integer({ min: 1, max: 500 }),
    retry: fc.boolean(),
    at: fc.nat(),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(stepArbitrary, { maxLength: 60 }), async (steps) => {
      const rig = createRig(2);
      rig.learn(createFakeRequest(), 100, 200);
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
            firstTokenDueAtMs: rig.clock.monotonicMs() + 1_700,
            deadlineAtMs: rig.clock.monotonicMs() + 10_000,
          });
          results.push(
            rig.admit(request, { signal: controller.signal, retry: step.retry }).then(
              () => 'placed',
              (error: unknown) => (error instanceof OverloadedError ? 'refused' : 'withdrawn'),
            ),
          );
        } else if (step.kind === 'release' && rig.inFlight() > 0) {
          rig.release();
        } else if (step.kind === 'leave') {
          controllers[step.at % Math.max(1, controllers.length)]?.abort(new TypeError('left'));
        } else if (step.kind === 'wait') {
          await rig.clock.advance(step.at % 400);
        }
        t.true(rig.inFlight() <= 2);
        t.true(rig.admission.queuedRequests() <= 10);
      }
      while (rig.inFlight() > 0 || rig.admission.queuedRequests() > 0) {
        rig.release();
      }
      const settled = await Promise.all(results);
      t.is(settled.filter((result) => result === 'placed').length, rig.placed.length);
      t.is(new Set(rig.placed).size, rig.placed.length);
    }),
    { numRuns: 60 },
  );
});
