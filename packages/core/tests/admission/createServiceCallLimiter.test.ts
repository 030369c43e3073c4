import test from 'ava';
import { createServiceCallLimiter } from '../../src/admission/createServiceCallLimiter.js';
import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import { OverloadedError } from '../../src/errors/OverloadedError.js';
import { asId } from '../../src/ids/asId.js';
import type { RequestContext } from '../../src/requests/RequestContext.js';

const settings = fleetDefaultsSchema.parse({ admission: { maxServiceCalls: 2 } });
const { signal } = new AbortController();

function factsOf(customer: string): RequestContext {
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

test('at most the configured number runs, as many wait, and further calls are not run', async (t) => {
  const lane = createServiceCallLimiter();
  const gate = createLatch();
  let started = 0;
  const call = async (): Promise<void> => {
    started += 1;
    await gate.opened;
  };
  const calls = Array.from({ length: 4 }, () => lane.run(factsOf('a'), call, signal));
  const refused = await t.throwsAsync(lane.run(factsOf('a'), call, signal), {
    instanceOf: OverloadedError,
  });
  t.is((refused as InstanceType<typeof OverloadedError>).outcome, 'not-run');
  t.is(lane.inFlight(), 2);
  gate.open();
  await Promise.all(calls);
  t.is(started, 4);
  t.is(lane.inFlight(), 0);
});

test('a flood of one customer does not keep out the call of another', async (t) => {
  const lane = createServiceCallLimiter();
  const gate = createLatch();
  const flood = Array.from({ length: 4 }, () =>
    lane.run(factsOf('a'), () => gate.opened, signal).catch((error: unknown) => error),
  );
  const other = lane.run(factsOf('b'), async () => 'answered', signal);
  gate.open();
  t.is(await other, 'answered');
  const results = await Promise.all(flood);
  t.is(results.filter((result) => result instanceof OverloadedError).length, 1);
});

test('a caller that leaves while waiting frees its place and its call does not run', async (t) => {
  const lane = createServiceCallLimiter();
  const gate = createLatch();
  const running = [1, 2].map(() => lane.run(factsOf('a'), () => gate.opened, signal));
  const leaving = new AbortController();
  const left = lane.run(factsOf('a'), () => t.fail() as never, leaving.signal);
  leaving.abort(new TypeError('left'));
  await t.throwsAsync(left, { instanceOf: TypeError });
  gate.open();
  await Promise.all(running);
  t.is(lane.inFlight(), 0);
});

test('a call that fails gives its place back', async (t) => {
  const lane = createServiceCallLimiter();
  await t.throwsAsync(lane.run(factsOf('a'), () => Promise.reject(new TypeError('no')), signal));
  t.is(lane.inFlight(), 0);
});
