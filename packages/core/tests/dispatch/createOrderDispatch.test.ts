import test from 'ava';
import { createOrderDispatch } from '../../src/dispatch/createOrderDispatch.js';
import type { OrderDispatch } from '../../src/dispatch/createOrderDispatch.js';
import { createSendGate } from '../../src/dispatch/createSendGate.js';
import { ConnectFailedError } from '../../src/errors/ConnectFailedError.js';
import { ProgressTimeoutError } from '../../src/errors/ProgressTimeoutError.js';
import type { ServiceCall, ServiceClient } from '../../src/ports/ServiceClient.js';
import { createFakeRegistry } from '../support/createFakeRegistry.js';
import { createServiceRequest } from '../support/createServiceRequest.js';
import { silentLog } from '../support/silentLog.js';

function createDispatch(call: ServiceClient['call'], serverCount = 3): OrderDispatch {
  return createOrderDispatch({
    random: { next: () => 0 },
    log: silentLog,
    registry: createFakeRegistry(serverCount),
    serviceClient: { call, close: async () => undefined },
  });
}

const confirmed = { statusCode: 200, contentType: undefined, body: 'confirmed' };

test('another server is tried on a new connection while the order has not been sent', async (t) => {
  const calls: ServiceCall[] = [];
  const dispatch = createDispatch(async (call) => {
    calls.push(call);
    if (calls.length < 3) {
      throw new ConnectFailedError('refused');
    }
    call.onBeforeSend();
    return confirmed;
  });
  const gate = createSendGate();
  t.deepEqual(await dispatch(createServiceRequest(), gate), { kind: 'run', answer: confirmed });
  t.deepEqual(
    calls.map(({ baseUrl }) => baseUrl),
    ['http://s1', 'http://s2', 'http://s3'],
  );
  t.true(calls.every(({ freshConnection }) => freshConnection));
  t.is(gate.state(), 'answered');
});

test('an order that may have been sent is not retried and its outcome is unknown', async (t) => {
  let calls = 0;
  const dispatch = createDispatch(async (call) => {
    calls += 1;
    call.onBeforeSend();
    throw new ProgressTimeoutError('timeout');
  });
  const outcome = await dispatch(createServiceRequest(), createSendGate());
  t.is(calls, 1);
  t.is(outcome.kind, 'unknown');
});

test('an error status of an ordering server is returned as the response', async (t) => {
  const dispatch = createDispatch(async (call) => {
    call.onBeforeSend();
    return { ...confirmed, statusCode: 503 };
  });
  const outcome = await dispatch(createServiceRequest(), createSendGate());
  t.like(outcome, { kind: 'run', answer: { statusCode: 503 } });
});

test('the outcome "not-run" is reported only for an order that can no longer be sent', async (t) => {
  const callbacks: (() => void)[] = [];
  const dispatch = createDispatch(async (call) => {
    callbacks.push(call.onBeforeSend);
    throw new ConnectFailedError('timeout');
  });
  const gate = createSendGate();
  const outcome = await dispatch(createServiceRequest(), gate);
  t.like(outcome, { kind: 'not-run', error: { code: 'backend-failed', outcome: 'not-run' } });
  callbacks.forEach((onBeforeSend) => t.throws(onBeforeSend));
  const withoutServers = await createDispatch(async () => confirmed, 0)(
    createServiceRequest(),
    createSendGate(),
  );
  t.like(withoutServers, { kind: 'not-run', error: { code: 'no-server', outcome: 'not-run' } });
});

test('an order that is abandoned while connecting is reported as "not-run" and not sent', async (t) => {
  const gate = createSendGate();
  const dispatch = createDispatch(async (call) => {
    gate.abandon();
    call.onBeforeSend();
    return confirmed;
  });
  const outcome = await dispatch(createServiceRequest(), gate);
  t.like(outcome, { kind: 'not-run', error: { outcome: 'not-run' } });
});
