import { setImmediate } from 'node:timers/promises';
import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import { createServerLinks } from '../../src/index.js';
import type { ConnectOutcome, Endpoint, ServerState } from '../../src/index.js';
import { buildServer } from '../support/builders.js';
import { discardingMetrics } from '../support/silentSinks.js';

const buildServers = (count: number): ServerState[] =>
  Array.from({ length: count }, (_, index) =>
    buildServer({
      id: asId(`server-${index + 1}`),
      endpoint: { host: '10.0.0.1', port: index + 1 },
    }),
  );

function setUp(serverCount: number, openMs = 1) {
  const clock = createManualClock();
  const servers = buildServers(serverCount);
  const unreached = new Map<number, ConnectOutcome>();
  const events: string[] = [];
  const probes: number[] = [];
  const restored = new Map<string, boolean>();
  let running = 0;
  let mostRunning = 0;
  const record = (event: string): void => {
    events.push(event);
  };
  const links = createServerLinks({
    clock,
    log: { info: record, warn: record, error: record },
    metrics: discardingMetrics,
    servers: () => servers,
    hasIdleConnection: () => true,
    onRestored: ({ incarnation }, { wasCutOff }) => restored.set(incarnation, wasCutOff),
    async connect({ port }: Endpoint) {
      probes.push(port);
      running += 1;
      mostRunning = Math.max(mostRunning, running);
      const outcome = unreached.get(port) ?? 'open';
      await clock.sleep(outcome === 'timeout' ? 300 : openMs);
      running -= 1;
      return unreached.has(port) ? outcome : 'open';
    },
  });
  const cut = (outcome: ConnectOutcome): void =>
    servers.forEach(({ registration }) => unreached.set(registration.endpoint.port, outcome));
  /** Advances the clock in steps, with time for what follows from each. */
  async function pass(durationMs: number, stepMs = 10): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
      clock.advance(stepMs);
      await setImmediate();
    }
  }
  const open = (): number => servers.filter((server) => links.isOpen(server)).length;
  return {
    links,
    servers,
    unreached,
    restored,
    events,
    probes,
    cut,
    pass,
    open,
    most: () => mostRunning,
  };
}

for (const outcome of ['timeout', 'refused'] as const) {
  test(`a cut from all servers by ${outcome} is known within a second, and its end, too`, async (t) => {
    const { links, servers, unreached, restored, events, cut, pass, open, most } = setUp(60);
    const [first, second] = servers as [ServerState, ServerState];
    cut(outcome);
    const verdict = links.recordFailure(first, outcome === 'refused');
    await pass(1_000);
    t.is(await verdict, 'cut-off');
    t.true(links.isCutOff());
    t.is(open(), 0);
    t.is(links.canSend(second), outcome === 'refused');
    const added = buildServer({ id: asId('server-new'), endpoint: { host: '10.0.0.1', port: 99 } });
    unreached.set(99, outcome);
    servers.push(added);
    t.false(links.isOpen(added));
    await pass(10_000);
    t.is(await Promise.race([links.check(second), pass(1_000)]), 'cut-off');
    t.true(most() <= 60);
    unreached.clear();
    await pass(1_000);
    t.is(open(), 61);
    t.true(restored.get(second.incarnation));
    t.deepEqual(
      events.filter((event) => event.startsWith('host-')),
      ['host-cut-off', 'host-reconnected'],
    );
    t.true(events.length <= 2 + 2 * 61);
    links.close();
  });
}

test('a server that fails alone is probed with a growing pause, and the others stay in use', async (t) => {
  const { links, servers, unreached, restored, events, probes, pass, open } = setUp(60);
  const [first] = servers as [ServerState];
  unreached.set(1, 'refused');
  const verdict = links.recordFailure(first, true);
  t.is(open(), 59);
  await pass(10_000);
  t.is(await verdict, 'refused');
  t.is(open(), 59);
  t.true(probes.filter((port) => port !== 1).length <= 2);
  t.true(probes.length <= 2 + 10 + 4);
  unreached.clear();
  await pass(1_200);
  t.is(open(), 60);
  t.deepEqual(events, ['server-link-failed', 'server-link-restored']);
  t.deepEqual([...restored], [[first.incarnation, false]]);
  links.close();
});

test('the only server of a region that refuses connections counts as crashed', async (t) => {
  const { links, servers, unreached, pass } = setUp(1);
  const [only] = servers as [ServerState];
  unreached.set(1, 'refused');
  const verdict = links.check(only);
  await pass(100);
  t.is(await verdict, 'refused');
  t.true(links.isCutOff());
  links.close();
});

test('a server that stays silent but accepts connections stays in use', async (t) => {
  const { links, servers, pass, open } = setUp(2);
  const verdict = links.check(servers[0] as ServerState);
  t.is(open(), 2);
  await pass(400);
  t.is(await verdict, 'open');
  t.is(open(), 2);
  links.close();
});

// A busy host probed all servers because of one late response, and sent nothing until one probe ended.
test('the pauses of a busy process are no sign of a cut', async (t) => {
  const { links, servers, probes, pass, open } = setUp(60, 70);
  const verdict = links.check(servers[0] as ServerState);
  await pass(100, 100);
  t.is(open(), 60);
  await pass(100, 100);
  t.is(await verdict, 'open');
  t.is(probes.length, 1);
  links.close();
});

// A request that crashes servers goes from one to the next within the time of a cut.
test('servers that fail one after the other count as crashed, the last one, too', async (t) => {
  const { links, servers, unreached, pass } = setUp(2);
  for (const server of servers) {
    unreached.set(server.registration.endpoint.port, 'refused');
    const verdict = links.check(server);
    await pass(100);
    t.is(await verdict, 'refused');
  }
  links.close();
});
