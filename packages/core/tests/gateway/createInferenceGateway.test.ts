import test from 'ava';
import type { AdmissionController } from '../../src/admission/AdmissionController.js';
import { createAdmitAll } from '../../src/admission/createAdmitAll.js';
import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import { AttemptBrokenError } from '../../src/errors/AttemptBrokenError.js';
import { BackendFailedError } from '../../src/errors/BackendFailedError.js';
import { ConnectFailedError } from '../../src/errors/ConnectFailedError.js';
import { DeadlineExceededError } from '../../src/errors/DeadlineExceededError.js';
import { OverloadedError } from '../../src/errors/OverloadedError.js';
import { ProgressTimeoutError } from '../../src/errors/ProgressTimeoutError.js';
import type { RequestError } from '../../src/errors/RequestError.js';
import { createDispatchQueue } from '../../src/dispatch/createDispatchQueue.js';
import { createPassThroughDispatchQueue } from '../../src/dispatch/createPassThroughDispatchQueue.js';
import type { DispatchQueue } from '../../src/dispatch/createDispatchQueue.js';
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

type EngineBehaviour = (attempt: EngineAttempt, signal: AbortSignal) => Promise<EngineAnswer>;

interface TestGateway {
  readonly clock: ManualClock;
  readonly gateway: InferenceGateway;
  readonly attempts: string[];
  reserved(): number;
}

const noop = (): void => undefined;
const { signal } = new AbortController();

const respond: EngineBehaviour = async (attempt) => {
  attempt.onBeforeSend();
  async function* events(): AsyncGenerator<string, void> {
    yield '{"choices":[{"finish_reason":"stop"}]}';
    yield '[DONE]';
  }
  return { kind: 'stream', events: events() };
};
const refuse: EngineBehaviour = async (attempt) => {
  attempt.onBeforeSend();
  return { kind: 'refused', statusCode: 429, retryAfterMs: undefined };
};
const breakConnection: EngineBehaviour = async (attempt) => {
  attempt.onBeforeSend();
  throw new AttemptBrokenError('broken');
};
const failToConnect: EngineBehaviour = async () => {
  throw new ConnectFailedError('refused');
};
/** Sends its response only after the time limit for the first byte. */
const pause: EngineBehaviour = async (attempt, stop) => {
  attempt.onBeforeSend();
  if (attempt.mayTimeOut?.() ?? true) {
    throw new ProgressTimeoutError('No response arrived in time.');
  }
  return respond(attempt, stop);
};
const hang: EngineBehaviour = (attempt, stop) =>
  new Promise((_resolve, reject) => {
    attempt.onBeforeSend();
    stop.addEventListener('abort', () => reject(stop.reason));
  });

/** Creates a gateway with one server per behaviour; the servers are tried in this order. */
function createTestGateway(
  behaviours: readonly EngineBehaviour[],
  options: {
    readonly admission?: AdmissionController;
    readonly retryBudget?: RetryBudget;
    readonly dispatchQueue?: DispatchQueue;
  } = {},
): TestGateway {
  const clock = createManualClock();
  const attempts: string[] = [];
  let reserved = 0;
  const template = createFakeServer();
  const registry: ServerRegistry = {
    hasReadList: () => true,
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
    markUnreachable: noop,
    refresh: async () => undefined,
    start: noop,
    close: async () => undefined,
  };
  const gateway = createInferenceGateway({
    clock,
    random: { next: () => 0.5 },
    log: { info: noop, warn: noop, error: noop },
    metrics: {
      increment: noop,
      gauge: noop,
      timingMs: noop,
      close: async () => undefined,
    },
    registry,
    dispatcher: createEngineDispatcher({
      clock,
      quarantine: createNoQuarantine(),
      engineClient: {
        start(attempt, stop) {
          attempts.push(attempt.baseUrl);
          return (behaviours[Number(attempt.baseUrl)] as EngineBehaviour)(attempt, stop);
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
    dispatchQueue: options.dispatchQueue ?? createPassThroughDispatchQueue(),
  });
  return { clock, gateway, attempts, reserved: () => reserved };
}

async function outcomeOf(subject: TestGateway, request = createFakeRequest()): Promise<unknown> {
  const result = subject.gateway.handle(request, signal).catch((error: unknown) => error);
  await subject.clock.advance(20_000);
  return result;
}

test('an attempt that fails before its first byte is retried at another server', async (t) => {
  const subject = createTestGateway([breakConnection, failToConnect, respond]);
  const response = (await outcomeOf(subject)) as { kind: string; events: AsyncIterable<string> };
  t.is(response.kind, 'stream');
  t.is(subject.reserved(), 1);
  const events: string[] = [];
  for await (const event of response.events) {
    events.push(event);
  }
  t.is(events.length, 2);
  t.is(subject.reserved(), 0, 'all slots are released');
  t.deepEqual(subject.attempts, ['0', '1', '2']);
});

test('a failure is reported as "not-run" only when no attempt can have run', async (t) => {
  const notRun = (await outcomeOf(
    createTestGateway([refuse, failToConnect, refuse]),
  )) as RequestError;
  t.true(notRun instanceof BackendFailedError);
  t.is(notRun.outcome, 'not-run');
  const unknown = (await outcomeOf(
    createTestGateway([refuse, breakConnection, refuse]),
  )) as RequestError;
  t.is(unknown.outcome, 'unknown');
});

test('the outcome is "unknown" when a retry is rejected after an attempt that may have run', async (t) => {
  const unlimited = createAdmitAll();
  const admission: AdmissionController = {
    ...unlimited,
    admit: (entry, stop) =>
      entry.retry ? Promise.reject(new OverloadedError('full')) : unlimited.admit(entry, stop),
  };
  const maybeRun = (await outcomeOf(
    createTestGateway([breakConnection, respond], { admission }),
  )) as RequestError;
  t.is(maybeRun.outcome, 'unknown');
  const neverRun = (await outcomeOf(
    createTestGateway([refuse, respond], { admission }),
  )) as RequestError;
  t.true(neverRun instanceof OverloadedError);
  t.is(neverRun.outcome, 'not-run');
});

test('a retry without budget is not sent, so that failures do not multiply the load', async (t) => {
  const subject = createTestGateway([breakConnection, respond], {
    retryBudget: { deposit: noop, tryWithdraw: () => false },
  });
  t.true((await outcomeOf(subject)) instanceof BackendFailedError);
  t.deepEqual(subject.attempts, ['0']);
});

test('when every attempt fails, the number of attempts stays within the retry budget', async (t) => {
  const clock = createManualClock();
  const subject = createTestGateway([breakConnection, breakConnection, breakConnection], {
    retryBudget: createRetryBudget(clock),
  });
  const settings = fleetDefaultsSchema.parse({
    retry: { budgetRatio: 0.1, minimumRetriesPerSecond: 0 },
  });
  const requests = 2_000;
  const bucketCapacity = 50;
  for (let count = 0; count < requests; count += 1) {
    await outcomeOf(subject, createFakeRequest({ settings, deadlineAtMs: 1e9 }));
  }
  const limit = requests * 1.1 + bucketCapacity;
  t.true(
    subject.attempts.length > requests && subject.attempts.length <= limit,
    `${subject.attempts.length}`,
  );
});

test('an attempt without a response ends at the deadline and is not retried', async (t) => {
  const subject = createTestGateway([hang, respond]);
  const error = (await outcomeOf(subject)) as RequestError;
  t.true(error instanceof DeadlineExceededError);
  t.is(error.outcome, 'unknown');
  t.deepEqual(subject.attempts, ['0']);
  t.is(subject.reserved(), 0);
});

test('the attempt ends and its slot is released when the caller disconnects', async (t) => {
  const subject = createTestGateway([hang, respond]);
  const caller = new AbortController();
  const result = subject.gateway.handle(createFakeRequest(), caller.signal);
  await subject.clock.advance(10);
  caller.abort(new TypeError('disconnected'));
  await t.throwsAsync(result, { instanceOf: TypeError });
  t.is(subject.reserved(), 0);
  t.deepEqual(subject.attempts, ['0']);
});

test('a request whose caller left in the turn in which it was read is not sent', async (t) => {
  const { gateway, attempts, reserved } = createTestGateway([respond], {
    dispatchQueue: createDispatchQueue(),
  });
  const caller = new AbortController();
  const response = gateway.handle(createFakeRequest(), caller.signal);
  // The end of a connection is read one turn of the event loop after the request before it.
  setImmediate(() => caller.abort());
  await t.throwsAsync(response, { any: true, instanceOf: DOMException, name: 'AbortError' });
  t.deepEqual(attempts, []);
  t.is(reserved(), 0);
});

// Guards against the loss of a request whose server would have gone on.
test('a silent server that is the only one is not given up', async (t) => {
  const subject = createTestGateway([pause]);
  t.like(await outcomeOf(subject), { kind: 'stream' });
  t.deepEqual(subject.attempts, ['0']);
});

test('a silent server is not given up without a retry left for the request', async (t) => {
  const subject = createTestGateway([pause, respond], {
    retryBudget: { deposit: noop, tryWithdraw: () => false },
  });
  t.like(await outcomeOf(subject), { kind: 'stream' });
  t.deepEqual(subject.attempts, ['0']);
});

test('a request leaves a silent server for another one and pays for one retry', async (t) => {
  let withdrawals = 0;
  const subject = createTestGateway([pause, respond], {
    retryBudget: {
      deposit: noop,
      tryWithdraw() {
        withdrawals += 1;
        return true;
      },
    },
  });
  t.like(await outcomeOf(subject), { kind: 'stream' });
  t.deepEqual(subject.attempts, ['0', '1']);
  t.is(withdrawals, 1);
});
