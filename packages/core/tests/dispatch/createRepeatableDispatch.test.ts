import test from 'ava';
import { createDispatchQueue } from '../../src/dispatch/createDispatchQueue.js';
import type { DispatchQueue } from '../../src/dispatch/createDispatchQueue.js';
import { createPassThroughDispatchQueue } from '../../src/dispatch/createPassThroughDispatchQueue.js';
import { createRepeatableDispatch } from '../../src/dispatch/createRepeatableDispatch.js';
import type { RepeatableDispatch } from '../../src/dispatch/createRepeatableDispatch.js';
import { AttemptBrokenError } from '../../src/errors/AttemptBrokenError.js';
import { BackendFailedError } from '../../src/errors/BackendFailedError.js';
import { ConnectFailedError } from '../../src/errors/ConnectFailedError.js';
import { DeadlineExceededError } from '../../src/errors/DeadlineExceededError.js';
import type { ServiceClient } from '../../src/ports/ServiceClient.js';
import { createSystemClock } from '../../src/time/createSystemClock.js';
import { createFakeRegistry } from '../support/createFakeRegistry.js';
import { createServiceRequest } from '../support/createServiceRequest.js';
import { silentLog } from '../support/silentLog.js';

const clock = createSystemClock();
const neverAborted = new AbortController().signal;

function createDispatch(
  call: ServiceClient['call'],
  dispatchQueue: DispatchQueue = createPassThroughDispatchQueue(),
): RepeatableDispatch {
  return createRepeatableDispatch({
    clock,
    random: { next: () => 0 },
    log: silentLog,
    registry: createFakeRegistry(2),
    serviceClient: { call, close: async () => undefined },
    dispatchQueue,
  });
}

const response = { statusCode: 200, contentType: undefined, body: 'confirmed' };
const statusCheck = createServiceRequest({}, { method: 'GET', path: '/orders/a', body: undefined });

test('a status check is retried at another server after a broken connection or a 503', async (t) => {
  const broken = createDispatch(async (call) => {
    call.onBeforeSend();
    if (call.baseUrl === 'http://s1') {
      throw new AttemptBrokenError('reset');
    }
    return response;
  });
  t.deepEqual(await broken(statusCheck, neverAborted), response);
  const busy = createDispatch(async ({ baseUrl }) =>
    baseUrl === 'http://s1' ? { ...response, statusCode: 503 } : response,
  );
  t.deepEqual(await busy(statusCheck, neverAborted), response);
});

test('the outcome "not-run" is reported only when no attempt was sent', async (t) => {
  const refused = createDispatch(async () => {
    throw new ConnectFailedError('refused');
  });
  const notRun = await t.throwsAsync(refused(statusCheck, neverAborted), {
    instanceOf: BackendFailedError,
  });
  t.is(String(notRun.outcome), 'not-run');
  const broken = createDispatch(async (call) => {
    call.onBeforeSend();
    throw new AttemptBrokenError('reset');
  });
  const unknown = await t.throwsAsync(broken(statusCheck, neverAborted), {
    instanceOf: BackendFailedError,
  });
  t.is(String(unknown.outcome), 'unknown');
});

test('a status check ends at its deadline and when the caller aborts', async (t) => {
  const hanging = createDispatch(
    (_call, signal) =>
      new Promise((_resolve, reject) => {
        signal.addEventListener('abort', () => reject(new AttemptBrokenError('aborted')));
      }),
  );
  const receivedAtMs = clock.monotonicMs();
  const context = { ...statusCheck.context, deadlineMs: 20, receivedAtMs };
  await t.throwsAsync(hanging({ ...statusCheck, context }, neverAborted), {
    instanceOf: DeadlineExceededError,
  });
  const caller = new AbortController();
  setTimeout(() => caller.abort(), 10);
  await t.throwsAsync(hanging(statusCheck, caller.signal), {
    any: true,
    instanceOf: DOMException,
    name: 'AbortError',
  });
});

test('a call whose caller leaves while its first attempt fails is not retried', async (t) => {
  const caller = new AbortController();
  let calls = 0;
  const dispatch = createDispatch(async () => {
    calls += 1;
    setImmediate(() => caller.abort());
    throw new ConnectFailedError('refused');
  }, createDispatchQueue());
  await t.throwsAsync(dispatch(statusCheck, caller.signal), {
    any: true,
    instanceOf: DOMException,
    name: 'AbortError',
  });
  t.is(calls, 1);
});
