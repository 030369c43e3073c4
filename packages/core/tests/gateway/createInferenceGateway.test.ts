import test from 'ava';
import type { AdmissionController } from '../../src/admission/AdmissionController.js';
import { createAdmitAll } from '../../src/admission/createAdmitAll.js';
import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import { AttemptBrokenError } from '../../src/errors/AttemptBrokenError.js';
import { BackendFailedError } from '../../src/errors/BackendFailedError.js';
import { ConnectFailedError } from '../../src/errors/ConnectFailedError.js';
import { DeadlineExceededError } from '../../src/errors/DeadlineExceededError.js';
import { OverloadedError } from '../../src/errors/OverloadedError.js';
import type { RequestError } from '../../src/errors/RequestError.js';
import { createEngineDispatcher } from '../../src/dispatch/createEngineDispatcher.js';
import { createInferenceGateway } from '../../src/gateway/createInferenceGateway.js';
import type { InferenceGateway } from '../../src/gateway/createInferenceGateway.js';
import { asId } from '../../src/ids/asId.js';
import type { ServerRegistry } from '../../src/membership/createServerRegistry.js';
import type { EngineAnswer, EngineAttempt } from '../../src/ports/EngineClient.js';
import { createNoQuarantine } from '../../src/quarantine/createNoQuarantine.js';
import { createRetryBudget } from '../../src/retry/createRetryBudget.js';
import { createUnlimitedRetryBudget } from '../../src/retry/createUnlimitedRetryBudget.js';
import type { RetryBudget } from '../../src/retry/RetryBudget.js';
import { chooseLeastLoaded } from '../../src/routing/chooseLeastLoaded.js';
import type { ManualClock } from '../createManualClock.js';
import { createManualClock } from '../createManualClock.js';
import { createFakeRequest } from '../support/createFakeRequest.js';
import { createFakeServer } from '../support/createFakeServer.js';

type Behaviour = (attempt: EngineAttempt, signal: AbortSignal) => Promise<EngineAnswer>;

interface Rig {
  readonly clock: ManualClock;
  readonly gateway: InferenceGateway;
  readonly attempts: string[];
  reserved(): number;
}

const nothing = (): void => undefined;
const { signal } = new AbortController();

const answers: Behaviour = async (attempt) => {
  attempt.onBeforeSend();
  async function* events(): AsyncGenerator<string, void> {
    yield '{"choices":[{"finish_reason":"stop"}]}';
    yield '[DONE]';
  }
  return { kind: 'stream', events: events() };
};
const refuses: Behaviour = async (attempt) => {
  attempt.onBeforeSend();
  return { kind: 'refused', statusCode: 429, retryAfterMs: undefined };
};
const breaks: Behaviour = async (attempt) => {
  attempt.onBeforeSend();
  throw new AttemptBrokenError('broken');
};
const cannotConnect: Behaviour = async () => {
  throw new ConnectFailedError('refused');
};
const hangs: Behaviour = (attempt, stop) =>
  new Promise((_resolve, reject) => {
    attempt.onBeforeSend();
    stop.addEventListener('abort', () => reject(stop.reason));
  });

/** Gateway in front of one server per behaviour, tried in this order. */
function createRig(
  behaviours: readonly Behaviour[],
  options: { readonly admission?: AdmissionController; readonly retryBudget?: RetryBudget } = {},
): Rig {
  const clock = createManualClock();
  const attempts: string[] = [];
  let reserved = 0;
  const template = createFakeServer();
  const registry: ServerRegistry = {
    servers: () =>
      behaviours.map((_, index) => ({
        ...template,
        entry: { ...template.entry, serverId: asId(`s${index}`), baseUrl: `${index}` },
      })),
    get: () => undefined,
    reserve() {
      reserved += 1;
      return {
        release() {
          reserved -= 1;
        },
      };
    },
    markUnreachable: nothing,
    refresh: async () => undefined,
    start: nothing,
    close: async () => undefined,
  };
  const gateway = createInferenceGateway({
    clock,
    random: { next: () => 0.5 },
    log: { info: nothing, warn: nothing, error: nothing },
    metrics: {
      increment: nothing,
      gauge: nothing,
      timingMs: nothing,
      close: async () => undefined,
    },
    registry,
    dispatcher: createEngineDispatcher({
      clock,
      quarantine: createNoQuarantine(),
      engineClient: {
        start(attempt, stop) {
          attempts.push(attempt.baseUrl);
          return (behaviours[Number(attempt.baseUrl)] as Behaviour)(attempt, stop);
        },
        readLoad: () => Promise.reject(new TypeError('not used')),
        readCacheEvents: async () => [],
        close: async () => undefined,
      },
    }),
    quarantine: createNoQuarantine(),
    chooseRoute: chooseLeastLoaded,
    entryHostCount: () => 1,
    admission: options.admission ?? createAdmitAll(),
    retryBudget: options.retryBudget ?? createUnlimitedRetryBudget(),
  });
  return { clock, gateway, attempts, reserved: () => reserved };
}

async function outcomeOf(rig: Rig, request = createFakeRequest()): Promise<unknown> {
  const result = rig.gateway.handle(request, signal).catch((error: unknown) => error);
  await rig.clock.advance(20_000);
  return result;
}

type Failure = RequestError;

test('an attempt that failed before its first byte is repeated at another server', async (t) => {
  const rig = createRig([breaks, cannotConnect, answers]);
  const answer = (await outcomeOf(rig)) as { kind: string; events: AsyncIterable<string> };
  t.is(answer.kind, 'stream');
  t.is(rig.reserved(), 1);
  const events: string[] = [];
  for await (const event of answer.events) {
    events.push(event);
  }
  t.is(events.length, 2);
  t.is(rig.reserved(), 0, 'places are given back');
  t.deepEqual(rig.attempts, ['0', '1', '2']);
});

test('failures are reported as not run only when no attempt can have run', async (t) => {
  const notRun = (await outcomeOf(createRig([refuses, cannotConnect, refuses]))) as Failure;
  t.true(notRun instanceof BackendFailedError);
  t.is(notRun.outcome, 'not-run');
  const unknown = (await outcomeOf(createRig([refuses, breaks, refuses]))) as Failure;
  t.is(unknown.outcome, 'unknown');
});

test('a retry that is refused does not hide that an earlier attempt may have run', async (t) => {
  const all = createAdmitAll();
  const admission: AdmissionController = {
    ...all,
    admit: (entry, stop) =>
      entry.retry ? Promise.reject(new OverloadedError('full')) : all.admit(entry, stop),
  };
  const maybeRun = (await outcomeOf(createRig([breaks, answers], { admission }))) as Failure;
  t.is(maybeRun.outcome, 'unknown');
  const neverRun = (await outcomeOf(createRig([refuses, answers], { admission }))) as Failure;
  t.true(neverRun instanceof OverloadedError);
  t.is(neverRun.outcome, 'not-run');
});

test('a retry without budget is not sent, so that failures do not multiply the load', async (t) => {
  const rig = createRig([breaks, answers], {
    retryBudget: { deposit: nothing, tryWithdraw: () => false },
  });
  t.true((await outcomeOf(rig)) instanceof BackendFailedError);
  t.deepEqual(rig.attempts, ['0']);
});

test('total failure costs at most the stated factor of attempts', async (t) => {
  const clock = createManualClock();
  const rig = createRig([breaks, breaks, breaks], { retryBudget: createRetryBudget(clock) });
  const settings = fleetDefaultsSchema.parse({
    retry: { budgetRatio: 0.1, minimumRetriesPerSecond: 0 },
  });
  const requests = 2_000;
  const storedRetries = 50;
  for (let count = 0; count < requests; count += 1) {
    await outcomeOf(rig, createFakeRequest({ settings, deadlineAtMs: 1e9 }));
  }
  const limit = requests * 1.1 + storedRetries;
  t.true(rig.attempts.length > requests && rig.attempts.length <= limit, `${rig.attempts.length}`);
});

test('an attempt without an answer ends at the deadline and is not repeated', async (t) => {
  const rig = createRig([hangs, answers]);
  const error = (await outcomeOf(rig)) as Failure;
  t.true(error instanceof DeadlineExceededError);
  t.is(error.outcome, 'unknown');
  t.deepEqual(rig.attempts, ['0']);
  t.is(rig.reserved(), 0);
});

test('a caller that leaves ends the attempt and gives the place back', async (t) => {
  const rig = createRig([hangs, answers]);
  const leaving = new AbortController();
  const result = rig.gateway.handle(createFakeRequest(), leaving.signal);
  await rig.clock.advance(10);
  leaving.abort(new TypeError('left'));
  await t.throwsAsync(result, { instanceOf: TypeError });
  t.is(rig.reserved(), 0);
  t.deepEqual(rig.attempts, ['0']);
});
