import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { HostId, ManualClock, WatchEvent } from '@camphorbarrow/core';
import type { PeerHeartbeat, ServerState } from '../../src/index.js';
import { buildHost, buildServer } from '../support/builders.js';
import { createSimulatedHost, SIMULATED_REGION } from '../support/createSimulatedHost.js';
import type { SimulatedHost } from '../support/createSimulatedHost.js';

const COLD_PER_S = 2.53;
/** Bound of the deployments: cold_per_s x cold_over + cold_slack. */
const MAX_REQUESTS_PER_SECOND = COLD_PER_S * 1.5 + 3;
const STEP_MS = 20;
const LARGE_REGION_HOSTS = 65;
/** Interval at which a host hears of each other one: four of them in each round of 100 ms. */
const HEARTBEAT_STEPS = 1_600 / STEP_MS;
const SERVER_COUNT = 12;

const hostId = (index: number): HostId => asId<HostId>(`front-${index}`);

interface PlayedHost extends SimulatedHost {
  readonly startedAtMs: number;
  /** Revision of the store that the view shows. */
  revision: number;
}

interface StoredChange {
  readonly atMs: number;
  readonly event: WatchEvent;
}

interface Scenario {
  /** Number of hosts in the region. @default 65 */
  readonly hostCount?: number;
  readonly durationMs: number;
  /** Whether heartbeats of one host reach the other. */
  readonly hears?: (receiver: number, sender: number) => boolean;
  /** Delay with which a host learns of a change in the store. */
  readonly viewDelayMs?: (host: number) => number;
  /** Hosts that are not registered at the start. */
  readonly isAbsent?: (host: number) => boolean;
  readonly changes?: readonly {
    readonly atMs: number;
    readonly host: number;
    readonly kind: 'put' | 'delete';
  }[];
  /** Hosts whose process ends or starts anew at a time; `starts` is undefined for one that stays away. */
  readonly ends?: ReadonlyMap<number, { readonly atMs: number; readonly starts?: number }>;
}

const startHost = (index: number, clock: ManualClock): PlayedHost => ({
  ...createSimulatedHost(hostId(index), clock),
  startedAtMs: clock.monotonicMs(),
  revision: 0,
});

/** Lets all hosts send whatever they may to cold servers. Returns the times of sends per server. */
function play(scenario: Scenario): readonly (readonly number[])[] {
  const clock = createManualClock();
  const {
    hostCount = LARGE_REGION_HOSTS,
    hears = () => true,
    viewDelayMs = () => 0,
    isAbsent = () => false,
  } = scenario;
  const stored: StoredChange[] = [
    ...Array.from({ length: hostCount }, (_, index) => index)
      .filter((index) => !isAbsent(index))
      .map((index) => ({ atMs: -Infinity, kind: 'put' as const, host: index })),
    ...(scenario.changes ?? []),
  ].map(({ atMs, kind, host }, index) => ({
    atMs,
    event: { kind, key: hostId(host), value: '', modRevision: index + 1 },
  }));
  const hosts: (PlayedHost | undefined)[] = Array.from({ length: hostCount }, (_, index) =>
    startHost(index, clock),
  );
  const servers: ServerState[] = Array.from({ length: SERVER_COUNT }, (_, index) => ({
    ...buildServer({ id: asId(`server-${index}`) }),
    coldUntilMs: Infinity,
  }));
  const sentAtMs: number[][] = servers.map(() => []);

  function update(host: PlayedHost, index: number, nowMs: number): void {
    const due = stored.filter(({ atMs }) => atMs + viewDelayMs(index) <= nowMs);
    if (due.length > host.revision) {
      const events = due.slice(host.revision).map(({ event }) => event);
      host.view.applyChanges({ events, era: 0, revision: due.length });
      host.revision = due.length;
    }
  }

  function exchangeHeartbeats(
    nowMs: number,
    isDue: (receiver: number, sender: number) => boolean,
  ): void {
    hosts.forEach((receiver, index) => {
      hosts.forEach((sender, other) => {
        if (receiver && sender && index !== other && hears(index, other) && isDue(index, other)) {
          receiver.peers.recordHeartbeat({
            host: buildHost(sender.id, SIMULATED_REGION),
            incarnation: String(sender.startedAtMs),
            sentAtMs: nowMs,
          } as unknown as PeerHeartbeat);
        }
      });
    });
  }

  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += STEP_MS) {
    hosts.forEach((host, index) => {
      const end = scenario.ends?.get(index);
      if (end?.atMs === nowMs) {
        hosts[index] = undefined;
      }
      if (end?.starts === nowMs) {
        hosts[index] = startHost(index, clock);
      }
      if (host !== undefined) {
        update(host, index, nowMs);
      }
    });
    exchangeHeartbeats(
      nowMs,
      (receiver, sender) =>
        nowMs === 0 || (nowMs / STEP_MS + receiver + sender) % HEARTBEAT_STEPS === 0,
    );
    hosts.forEach((host) => {
      servers.forEach((server, index) => {
        if (host?.context.serverRateLimiter.permits(server, COLD_PER_S) === true) {
          host.context.serverRateLimiter.recordSend(server, COLD_PER_S);
          sentAtMs[index]?.push(nowMs);
        }
      });
    });
    clock.advance(STEP_MS);
  }
  return sentAtMs;
}

const busiestSecond = (sentAtMs: readonly number[]): number =>
  Math.max(
    0,
    ...sentAtMs.map((from) => sentAtMs.filter((at) => at >= from && at < from + 1_000).length),
  );

const busiestOf = (servers: readonly (readonly number[])[]): number =>
  Math.max(...servers.map(busiestSecond));

const minimumOf = (servers: readonly (readonly number[])[], fromMs: number): number =>
  Math.min(...servers.map((sentAtMs) => sentAtMs.filter((at) => at >= fromMs).length));

test('hosts of two zones that hear nothing of each other do not flood a cold server', (t) => {
  const sends = play({ durationMs: 8_000, hears: (a, b) => a % 2 === b % 2 });
  t.true(busiestOf(sends) <= MAX_REQUESTS_PER_SECOND, `${busiestOf(sends)} in a second`);
  t.true(minimumOf(sends, 3_000) >= 10, 'the servers get enough requests to warm up');
});

test('hosts that start together and have heard of few others do not flood a cold server', (t) => {
  const ends = new Map(
    Array.from({ length: 30 }, (_, index) => [index * 2, { atMs: 3_000, starts: 3_800 }]),
  );
  const sends = play({ durationMs: 9_000, ends });
  t.true(busiestOf(sends) <= MAX_REQUESTS_PER_SECOND, `${busiestOf(sends)} in a second`);
  t.true(minimumOf(sends, 6_000) >= 6, 'the servers get enough requests to warm up');
});

test('a host that is killed and stays registered does not keep others from a cold server', (t) => {
  const ends = new Map(Array.from({ length: 13 }, (_, index) => [index * 5, { atMs: 3_000 }]));
  const changes = [...ends].map(([host]) => ({ atMs: 13_000, host, kind: 'delete' as const }));
  const sends = play({ durationMs: 24_000, ends, changes });
  t.true(busiestOf(sends) <= MAX_REQUESTS_PER_SECOND, `${busiestOf(sends)} in a second`);
  t.true(minimumOf(sends, 21_000) >= 6, 'others take the places of lost hosts');
});

test('hosts of a small region go on sending to cold servers after one of them was killed', (t) => {
  const sends = play({
    hostCount: 3,
    durationMs: 24_000,
    ends: new Map([[0, { atMs: 3_000 }]]),
    changes: [{ atMs: 13_000, host: 0, kind: 'delete' }],
  });
  t.true(busiestOf(sends) <= MAX_REQUESTS_PER_SECOND, `${busiestOf(sends)} in a second`);
  const whileRegistered = sends.map((sentAtMs) =>
    sentAtMs.filter((at) => at >= 3_000 && at < 13_000),
  );
  t.true(minimumOf(whileRegistered, 0) >= 0.6 * COLD_PER_S * 10, 'the others use their shares');
  t.true(minimumOf(sends, 19_000) >= 0.9 * COLD_PER_S * 5, 'the others use the whole rate');
});

// Views of the store differ by up to 0.8 s, and every 0.2 s one host leaves and another comes.
test('hosts that learn of new and removed hosts at different times do not flood a cold server', (t) => {
  const changes = Array.from({ length: 40 }, (_, index) => [
    { atMs: 2_000 + index * 200, host: index, kind: 'delete' as const },
    {
      atMs: 2_000 + index * 200 + 100,
      host: (index + 25) % LARGE_REGION_HOSTS,
      kind: 'put' as const,
    },
  ]).flat();
  const sends = play({
    durationMs: 18_000,
    changes,
    isAbsent: (host) => host >= 25 && host < LARGE_REGION_HOSTS,
    viewDelayMs: (host) => (host * 37) % 800,
  });
  t.true(busiestOf(sends) <= MAX_REQUESTS_PER_SECOND, `${busiestOf(sends)} in a second`);
});

test('registrations that a restored store lost and that return leave the senders in place', (t) => {
  const lost = Array.from({ length: 50 }, (_, host) => host);
  const sends = play({
    durationMs: 12_000,
    changes: [
      ...lost.map((host) => ({ atMs: 4_000, host, kind: 'delete' as const })),
      ...lost.map((host) => ({ atMs: 4_100 + host * 40, host, kind: 'put' as const })),
    ],
    viewDelayMs: (host) => (host * 37) % 800,
  });
  t.true(busiestOf(sends) <= MAX_REQUESTS_PER_SECOND, `${busiestOf(sends)} in a second`);
  const during = sends.map((sentAtMs) => sentAtMs.filter((at) => at >= 4_000 && at < 8_000));
  t.true(minimumOf(during, 0) >= 6, 'the servers get requests all the time');
});

// Hosts without a registration sent nothing, and no host of the region had one.
test('hosts of a small region whose registrations are all lost go on sending to cold servers', (t) => {
  const sends = play({
    hostCount: 2,
    durationMs: 20_000,
    changes: [
      { atMs: 3_000, host: 0, kind: 'delete' },
      { atMs: 3_000, host: 1, kind: 'delete' },
      { atMs: 12_000, host: 1, kind: 'put' },
      { atMs: 13_500, host: 0, kind: 'put' },
    ],
    viewDelayMs: (host) => host * 700,
  });
  t.true(busiestOf(sends) <= MAX_REQUESTS_PER_SECOND, `${busiestOf(sends)} in a second`);
  const whileLost = sends.map((sentAtMs) => sentAtMs.filter((at) => at >= 3_000 && at < 12_000));
  t.true(minimumOf(whileLost, 0) >= 0.9 * COLD_PER_S * 9, 'the servers get their whole rate');
});
