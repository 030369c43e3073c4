import test from 'ava';
import { createServiceCallLimiter } from '../../src/admission/createServiceCallLimiter.js';
import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import { OverloadedError } from '../../src/errors/OverloadedError.js';
import { asId } from '../../src/ids/asId.js';
import type { RequestContext } from '../../src/requests/RequestContext.js';

const settings = fleetDefaultsSchema.parse({ admission: { maxServiceCalls: 2 } });
const { signal } = new AbortController();

function createContext(customer: string): RequestContext {
  return {
    requestId: asId('r'),
    customerId: asId(customer),
    homeRegionId: undefined,
    rank: undefined,
    deadlineMs: undefined,
    idempotencyKey: undefined,
    path: [],
    receivedAtMs: 0,
    settings,
    settingsForRank: () => settings,
  };
}

function createLatch(): { readonly opened: Promise<void>; readonly open: () => void } {
  let open = (): void => undefined;
  const opened = new Promise<void>((resolve) => {
    open = resolve;
  });
  return { opened, open };
}

test('the configured number of calls run, as many wait, and further calls are rejected', async (t) => {
  const limiter = createServiceCallLimiter();
  const latch = createLatch();
  let started = 0;
  const call = async (): Promise<void> => {
    started += 1;
    await latch.opened;
  };
  const calls = Array.from({ length: 4 }, () => limiter.run(createContext('a'), call, signal));
  const rejected = await t.throwsAsync(limiter.run(createContext('a'), call, signal), {
    instanceOf: OverloadedError,
  });
  t.is((rejected as InstanceType<typeof OverloadedError>).outcome, 'not-run');
  t.is(limiter.inFlight(), 2);
  latch.open();
  await Promise.all(calls);
  t.is(started, 4);
  t.is(limiter.inFlight(), 0);
});

test('many calls of one customer do not prevent the call of another', async (t) => {
  const limiter = createServiceCallLimiter();
  const latch = createLatch();
  const callsOfA = Array.from({ length: 4 }, () =>
    limiter.run(createContext('a'), () => latch.opened, signal).catch((error: unknown) => error),
  );
  const other = limiter.run(createContext('b'), async () => 'answered', signal);
  latch.open();
  t.is(await other, 'answered');
  const results = await Promise.all(callsOfA);
  t.is(results.filter((result) => result instanceof OverloadedError).length, 1);
});

test('a call whose caller disconnects while it waits is removed and does not run', async (t) => {
  const limiter = createServiceCallLimiter();
  const latch = createLatch();
  const running = [1, 2].map(() => limiter.run(createContext('a'), () => latch.opened, signal));
  const caller = new AbortController();
  const cancelled = limiter.run(createContext('a'), () => t.fail() as never, caller.signal);
  caller.abort(new TypeError('disconnected'));
  await t.throwsAsync(cancelled, { instanceOf: TypeError });
  latch.open();
  await Promise.all(running);
  t.is(limiter.inFlight(), 0);
});

test('a call that fails releases its slot', async (t) => {
  const limiter = createServiceCallLimiter();
  await t.throwsAsync(
    limiter.run(createContext('a'), () => Promise.reject(new TypeError('no')), signal),
  );
  t.is(limiter.inFlight(), 0);
});
