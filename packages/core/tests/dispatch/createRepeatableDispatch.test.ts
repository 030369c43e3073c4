import test from 'ava';
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
const idle = new AbortController().signal;

function createDispatch(call: ServiceClient['call']): RepeatableDispatch {
  return createRepeatableDispatch({
    clock,
    random: { next: () => 0 },
    log: silentLog,
    registry: createFakeRegistry(2),
    serviceClient: { call, close: async () => undefined },
  });
}

const answer = { statusCode: 200, contentType: undefined, body: 'confirmed' };
const statusCheck = createServiceRequest({}, { method: 'GET', path: '/orders/a', body: undefined });

test('a status check is sent to another server after a failure or a 503', async (t) => {
  const broken = createDispatch(async (call) => {
    call.onBeforeSend();
    if (call.baseUrl === 'http://s1') {
      throw new AttemptBrokenError('reset');
    }
    return answer;
  });
  t.deepEqual(await broken(statusCheck, idle), answer);
  const busy = createDispatch(async ({ baseUrl }) =>
    baseUrl === 'http://s1' ? { ...answer, statusCode: 503 } : answer,
  );
  t.deepEqual(await busy(statusCheck, idle), answer);
});

test('the refusal says "not-run" only when no attempt was sent', async (t) => {
  const refused = createDispatch(async () => {
    throw new ConnectFailedError('refused');
  });
  const notRun = await t.throwsAsync(refused(statusCheck, idle), {
    instanceOf: BackendFailedError,
  });
  t.is(String(notRun.outcome), 'not-run');
  const broken = createDispatch(async (call) => {
    call.onBeforeSend();
    throw new AttemptBrokenError('reset');
  });
  const unknown = await t.throwsAsync(broken(statusCheck, idle), {
    instanceOf: BackendFailedError,
  });
  t.is(String(unknown.outcome), 'unknown');
});

test('the deadline and the caller both end a status check', async (t) => {
  const hanging = createDispatch(
    (_call, signal) =>
      new Promise((_resolve, reject) => {
        signal.addEventListener('abort', () => reject(new AttemptBrokenError('aborted')));
      }),
  );
  const receivedAtMs = clock.monotonicMs();
  const facts = { ...statusCheck.context, deadlineMs: 20, receivedAtMs };
  await t.throwsAsync(hanging({ ...statusCheck, context: facts }, idle), {
    instanceOf: DeadlineExceededError,
  });
  const caller = new AbortController();
  setTimeout(() => caller.abort(), 10);
  await t.throwsAsync(hanging(statusCheck, caller.signal), { name: 'AbortError' });
});
