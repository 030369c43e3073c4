import { randomUUID } from 'node:crypto';
import test from 'ava';
import type { OrderDispatch } from '../../src/dispatch/createOrderDispatch.js';
import type { CustomerId } from '../../src/ids/CustomerId.js';
import type { HostId } from '../../src/ids/HostId.js';
import type { Incarnation } from '../../src/ids/Incarnation.js';
import type { RegionId } from '../../src/ids/RegionId.js';
import { asId } from '../../src/ids/asId.js';
import type { ExecutorIdentity } from '../../src/once/ExecutorIdentity.js';
import { createPermitOrderExecutor } from '../../src/once/createPermitOrderExecutor.js';
import type {
  PermitOrderExecutor,
  PermitOrderExecutorOptions,
} from '../../src/once/createPermitOrderExecutor.js';
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
  const orders = createPermitOrderExecutor({
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
  return { ...orders, runs: () => runs, time };
}

const permitOf = (orders: PermitOrderExecutor): string =>
  orders.issue(customerId, 1).permits[0] ?? '';

test('a permit has the documented form, and names with dots do not break it', async (t) => {
  const orders = createTestExecutor();
  const permit = permitOf(orders);
  t.regex(permit, /^cbp1\.norte~a\.norte-1~rack~2\.[0-9a-f-]{36}\.\d+\.[\w-]{22}\.[\w-]{43}$/);
  t.true(permit.length <= 255);
  t.deepEqual(await orders.execute(request, permit, false), answer);
});

test('a resend and concurrent duplicates get the first outcome', async (t) => {
  const orders = createTestExecutor();
  const permit = permitOf(orders);
  const sends = [1, 2, 3].map(() => orders.execute(request, permit, false));
  t.deepEqual(await Promise.all(sends), [answer, answer, answer]);
  t.deepEqual(await orders.execute(request, permit, true), answer);
  t.is(orders.runs(), 1);
});

test('a permit with another body is refused', async (t) => {
  const orders = createTestExecutor();
  const permit = permitOf(orders);
  await orders.execute(request, permit, false);
  const other = createServiceRequest({}, { body: '{"order":"b"}' });
  await t.throwsAsync(orders.execute(other, permit, false), {
    name: 'IdempotencyKeyReusedError',
  });
});

test("forged, malformed and other customers' permits are refused", async (t) => {
  const orders = createTestExecutor();
  const permit = permitOf(orders);
  const forged = [
    `${permit.slice(0, -1)}${permit.endsWith('A') ? 'B' : 'A'}`,
    permit.replace(/\.(\d+)\./, '.9999999999999.'),
    'cbp1.x',
    `CBP1${permit.slice(4)}`,
  ];
  for (const key of forged) {
    t.true(orders.isPermit(key));
    await t.throwsAsync(orders.execute(request, key, false), { name: 'InvalidPermitError' });
  }
  const other = createServiceRequest({ customerId: asId<CustomerId>('other') });
  await t.throwsAsync(orders.execute(other, permit, false), { name: 'InvalidPermitError' });
  t.is(orders.runs(), 0);
});

test('a permit of another region is refused without a relay', async (t) => {
  const orders = createTestExecutor();
  const south = createTestExecutor({ self: { ...self, regionId: asId<RegionId>('sul') } });
  const error = await t.throwsAsync(orders.execute(request, permitOf(south), false), {
    name: 'WrongRegionError',
  });
  t.like(error, { outcome: 'not-run', details: { homeRegion: 'sul' } });
});

test('a permit of another host is relayed once; that of an ended process is unknown', async (t) => {
  const orders = createTestExecutor();
  const other = createTestExecutor({ self: { ...self, hostId: asId<HostId>('norte-2') } });
  const permit = permitOf(other);
  t.is((await orders.execute(request, permit, false)).body, 'relayed');
  await t.throwsAsync(orders.execute(request, permit, true), { name: 'OutcomeUnknownError' });
  const earlier = createTestExecutor({
    self: { ...self, incarnation: asId<Incarnation>(randomUUID()) },
  });
  const error = await t.throwsAsync(orders.execute(request, permitOf(earlier), false));
  t.like(error, { code: 'outcome-unknown', statusCode: 409, outcome: 'unknown' });
});

// Guards against a wall clock that is set back after the outcome was removed from memory.
test('an expired permit never runs, whatever the wall clock says', async (t) => {
  const orders = createTestExecutor({ maxEntries: 1 });
  const used = permitOf(orders);
  const unused = permitOf(orders);
  await orders.execute(request, used, false);
  await t.throwsAsync(orders.execute(request, unused, false), { name: 'OverloadedError' });
  orders.time.monotonicMs += 600_000;
  t.deepEqual(await orders.execute(request, used, false), answer);
  orders.time.monotonicMs += 600_000;
  const next = permitOf(orders);
  await orders.execute(request, next, false);
  orders.time.wallMs -= 3_600_000;
  await t.throwsAsync(orders.execute(request, used, false), { name: 'PermitExpiredError' });
  t.is(orders.runs(), 2);
});

test('"not run" of a permit is final and says so', async (t) => {
  let isDown = true;
  const orders = createTestExecutor({
    dispatchOrder: async (_request, gate) => {
      if (isDown) {
        gate.abandon();
        const { NoServerError } = await import('../../src/errors/NoServerError.js');
        return { kind: 'not-run', error: new NoServerError('none') };
      }
      return { kind: 'run', answer };
    },
  });
  const permit = permitOf(orders);
  const first = await t.throwsAsync(orders.execute(request, permit, false));
  t.like(first, { code: 'no-server', outcome: 'not-run', details: { finalForKey: true } });
  isDown = false;
  await t.throwsAsync(orders.execute(request, permit, false), { message: 'none' });
});

test('the deadline of an unsent order answers "not run" and closes its gate', async (t) => {
  let late: (() => void) | undefined;
  const orders = createTestExecutor({
    clock: { nowMs: () => 0, monotonicMs: () => 0, sleep: async () => undefined },
    dispatchOrder: (_request, gate) => {
      late = gate.startAttempt();
      return new Promise(() => {});
    },
  });
  const hurried = createServiceRequest({ deadlineMs: 1 });
  const error = await t.throwsAsync(orders.execute(hurried, permitOf(orders), false));
  t.like(error, { code: 'deadline-exceeded', outcome: 'not-run' });
  t.throws(() => late?.(), { name: 'AttemptAbandonedError' });
});

test('the deadline of a sent order answers "unknown", and a resend finds the outcome', async (t) => {
  let finish = (): void => undefined;
  const orders = createTestExecutor({
    clock: { nowMs: () => 0, monotonicMs: () => 0, sleep: async () => undefined },
    dispatchOrder: (_request, gate) => {
      gate.startAttempt()();
      return new Promise((resolve) => {
        finish = () => resolve({ kind: 'run', answer });
      });
    },
  });
  const permit = permitOf(orders);
  const hurried = createServiceRequest({ deadlineMs: 1 });
  const error = await t.throwsAsync(orders.execute(hurried, permit, false));
  t.like(error, { code: 'deadline-exceeded', outcome: 'unknown' });
  finish();
  t.deepEqual(await orders.execute(request, permit, false), answer);
});
