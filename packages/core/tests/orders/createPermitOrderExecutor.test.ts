import { randomUUID } from 'node:crypto';
import test from 'ava';
import type { OrderDispatch } from '../../src/dispatch/createOrderDispatch.js';
import type { CustomerId } from '../../src/ids/CustomerId.js';
import type { HostId } from '../../src/ids/HostId.js';
import type { Incarnation } from '../../src/ids/Incarnation.js';
import type { RegionId } from '../../src/ids/RegionId.js';
import { asId } from '../../src/ids/asId.js';
import type { ExecutorIdentity } from '../../src/orders/ExecutorIdentity.js';
import { createPermitOrderExecutor } from '../../src/orders/createPermitOrderExecutor.js';
import type {
  PermitOrderExecutor,
  PermitOrderExecutorOptions,
} from '../../src/orders/createPermitOrderExecutor.js';
import { createServiceRequest } from '../support/createServiceRequest.js';

const self: ExecutorIdentity = {
  hostId: asId<HostId>('norte-1.rack.2'),
  incarnation: asId<Incarnation>(randomUUID()),
  regionId: asId<RegionId>('norte.a'),
};
const answer = { statusCode: 200, contentType: undefined, body: 'confirmed' };
const request = createServiceRequest();
const { customerId } = request.context;

function createTestExecutor(
  options: Partial<PermitOrderExecutorOptions> = {},
): PermitOrderExecutor & {
  readonly runs: () => number;
  readonly time: { wallMs: number; monotonicMs: number };
} {
  const time = { wallMs: 1_000_000, monotonicMs: 0 };
  let runs = 0;
  const dispatch: OrderDispatch = async (_request, gate) => {
    gate.startAttempt()();
    runs += 1;
    return { kind: 'run', answer };
  };
  const executor = createPermitOrderExecutor({
    clock: {
      nowMs: () => time.wallMs,
      monotonicMs: () => time.monotonicMs,
      sleep: () => new Promise(() => {}),
    },
    self,
    recordKey: 'record-key',
    dispatchOrder: dispatch,
    relayOrder: async () => ({ ...answer, body: 'relayed' }),
    entryHostUrls: () => ['http://127.0.0.2:8080'],
    ...options,
  });
  return { ...executor, runs: () => runs, time };
}

const issuePermit = (executor: PermitOrderExecutor): string =>
  executor.issue(customerId, 1).permits[0] ?? '';

test('a permit has the documented form, and names with dots do not break it', async (t) => {
  const executor = createTestExecutor();
  const permit = issuePermit(executor);
  t.regex(permit, /^cbp1\.norte~a\.norte-1~rack~2\.[0-9a-f-]{36}\.\d+\.[\w-]{22}\.[\w-]{43}$/);
  t.true(permit.length <= 255);
  t.deepEqual(await executor.execute(request, permit, false), answer);
});

test('a resend and concurrent duplicates get the first outcome', async (t) => {
  const executor = createTestExecutor();
  const permit = issuePermit(executor);
  const sends = [1, 2, 3].map(() => executor.execute(request, permit, false));
  t.deepEqual(await Promise.all(sends), [answer, answer, answer]);
  t.deepEqual(await executor.execute(request, permit, true), answer);
  t.is(executor.runs(), 1);
});

test('a permit with another body is rejected', async (t) => {
  const executor = createTestExecutor();
  const permit = issuePermit(executor);
  await executor.execute(request, permit, false);
  const otherRequest = createServiceRequest({}, { body: '{"order":"b"}' });
  await t.throwsAsync(executor.execute(otherRequest, permit, false), {
    name: 'IdempotencyKeyReusedError',
  });
});

test("forged, malformed and other customers' permits are rejected", async (t) => {
  const executor = createTestExecutor();
  const permit = issuePermit(executor);
  const forged = [
    `${permit.slice(0, -1)}${permit.endsWith('A') ? 'B' : 'A'}`,
    permit.replace(/\.(\d+)\./, '.9999999999999.'),
    'cbp1.x',
    `CBP1${permit.slice(4)}`,
  ];
  for (const key of forged) {
    t.true(executor.isPermit(key));
    await t.throwsAsync(executor.execute(request, key, false), { name: 'InvalidPermitError' });
  }
  const otherRequest = createServiceRequest({ customerId: asId<CustomerId>('other') });
  await t.throwsAsync(executor.execute(otherRequest, permit, false), {
    name: 'InvalidPermitError',
  });
  t.is(executor.runs(), 0);
});

test('a permit of another region is rejected without a relay', async (t) => {
  const executor = createTestExecutor();
  const otherRegionExecutor = createTestExecutor({
    self: { ...self, regionId: asId<RegionId>('sul') },
  });
  const error = await t.throwsAsync(
    executor.execute(request, issuePermit(otherRegionExecutor), false),
    {
      name: 'WrongRegionError',
    },
  );
  t.like(error, { outcome: 'not-run', details: { homeRegion: 'sul' } });
});

test('an order with a permit of another host is relayed once; that of an ended process is unknown', async (t) => {
  const executor = createTestExecutor();
  const otherHostExecutor = createTestExecutor({
    self: { ...self, hostId: asId<HostId>('norte-2') },
  });
  const permit = issuePermit(otherHostExecutor);
  t.is((await executor.execute(request, permit, false)).body, 'relayed');
  await t.throwsAsync(executor.execute(request, permit, true), { name: 'OutcomeUnknownError' });
  const previousExecutor = createTestExecutor({
    self: { ...self, incarnation: asId<Incarnation>(randomUUID()) },
  });
  const error = await t.throwsAsync(
    executor.execute(request, issuePermit(previousExecutor), false),
  );
  t.like(error, { code: 'outcome-unknown', statusCode: 409, outcome: 'unknown' });
});

// Guards against a second run of an order when the wall clock is set back after its outcome was
// removed from memory.
test('an order with an expired permit never runs, even when the wall clock is set back', async (t) => {
  const executor = createTestExecutor({ maxEntries: 1 });
  const used = issuePermit(executor);
  const unused = issuePermit(executor);
  await executor.execute(request, used, false);
  await t.throwsAsync(executor.execute(request, unused, false), { name: 'OverloadedError' });
  executor.time.monotonicMs += 600_000;
  t.deepEqual(await executor.execute(request, used, false), answer);
  executor.time.monotonicMs += 600_000;
  const next = issuePermit(executor);
  await executor.execute(request, next, false);
  executor.time.wallMs -= 3_600_000;
  await t.throwsAsync(executor.execute(request, used, false), { name: 'PermitExpiredError' });
  t.is(executor.runs(), 2);
});

test('"not run" is final for a permit and marked as final', async (t) => {
  let isDown = true;
  const executor = createTestExecutor({
    dispatchOrder: async (_request, gate) => {
      if (isDown) {
        gate.abandon();
        const { NoServerError } = await import('../../src/errors/NoServerError.js');
        return { kind: 'not-run', error: new NoServerError('none') };
      }
      return { kind: 'run', answer };
    },
  });
  const permit = issuePermit(executor);
  const first = await t.throwsAsync(executor.execute(request, permit, false));
  t.like(first, { code: 'no-server', outcome: 'not-run', details: { finalForKey: true } });
  isDown = false;
  await t.throwsAsync(executor.execute(request, permit, false), { message: 'none' });
});

test('an order that is unsent at its deadline is "not run", and its attempt may no longer send', async (t) => {
  let sendLate: (() => void) | undefined;
  const executor = createTestExecutor({
    clock: { nowMs: () => 0, monotonicMs: () => 0, sleep: async () => undefined },
    dispatchOrder: (_request, gate) => {
      sendLate = gate.startAttempt();
      return new Promise(() => {});
    },
  });
  const requestWithDeadline = createServiceRequest({ deadlineMs: 1 });
  const error = await t.throwsAsync(
    executor.execute(requestWithDeadline, issuePermit(executor), false),
  );
  t.like(error, { code: 'deadline-exceeded', outcome: 'not-run' });
  t.throws(() => sendLate?.(), { name: 'AttemptAbandonedError' });
});

test('an order that is in flight at its deadline is "unknown", and a resend finds the outcome', async (t) => {
  let finish = (): void => undefined;
  const executor = createTestExecutor({
    clock: { nowMs: () => 0, monotonicMs: () => 0, sleep: async () => undefined },
    dispatchOrder: (_request, gate) => {
      gate.startAttempt()();
      return new Promise((resolve) => {
        finish = () => resolve({ kind: 'run', answer });
      });
    },
  });
  const permit = issuePermit(executor);
  const requestWithDeadline = createServiceRequest({ deadlineMs: 1 });
  const error = await t.throwsAsync(executor.execute(requestWithDeadline, permit, false));
  t.like(error, { code: 'deadline-exceeded', outcome: 'unknown' });
  finish();
  t.deepEqual(await executor.execute(request, permit, false), answer);
});

// Guards against an order whose connection is cut, because the host stops when its orders ended.
test('an order that arrives after the close does not run, and outcomes are still given', async (t) => {
  const executor = createTestExecutor();
  const permit = issuePermit(executor);
  const unusedPermit = issuePermit(executor);
  await executor.execute(request, permit, true);
  await executor.close();
  const error = await t.throwsAsync(executor.execute(request, unusedPermit, true), {
    name: 'DrainingError',
  });
  t.like(error, { outcome: 'not-run', details: { finalForKey: true } });
  t.deepEqual(await executor.execute(request, permit, true), answer);
  t.is(executor.runs(), 1);
});
