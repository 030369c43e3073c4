import test from 'ava';
import { asId, createManualClock, createPartSuspicion } from '@camphorbarrow/core';
import type { Fingerprint, LogSink } from '@camphorbarrow/core';
import { createCrashGuard } from '../../src/index.js';
import type { BrokenRequest, CrashGuard, CrashGuardOptions } from '../../src/index.js';
import { buildServer } from '../support/builders.js';

const silentLog: LogSink = { info() {}, warn() {}, error() {} };
const crashing = asId<Fingerprint>('crashing');
const innocent = asId<Fingerprint>('innocent');
const MINUTE_MS = 60_000;
const FINGERPRINT_LENGTH = 32;
const MAX_DATAGRAM_BYTES = 65_507;
/** Room for the rest of a heartbeat: loads of some hundred servers and evidence on prompt parts. */
const OTHER_HEARTBEAT_BYTES = 16_384;

/** A request whose connection breaks now, and that was sent just before. */
const broken = (guard: CrashGuard, fingerprint: Fingerprint): BrokenRequest => ({
  fingerprint,
  wasSuspect: guard.isSuspect(() => fingerprint),
  hasStarted: false,
  sharedParts: [],
  trialParts: [],
});

function createGuard(
  clock = createManualClock(),
  refusesConnections: CrashGuardOptions['refusesConnections'] = async () => false,
): CrashGuard {
  return createCrashGuard({
    clock,
    log: silentLog,
    suspicion: createPartSuspicion(clock),
    refusesConnections,
  });
}

function serverNumber(index: number) {
  return buildServer({ id: asId(`server-${index}`), startedAtMs: index });
}

function crashServer(guard: CrashGuard, index: number, fingerprints = [crashing]): void {
  const server = serverNumber(index);
  const requests = fingerprints.map((fingerprint) => broken(guard, fingerprint));
  requests.forEach((request) => guard.recordBrokenConnection(server, request));
  guard.recordServerGone(server);
}

const isQuarantined = (guard: CrashGuard | undefined, fingerprint = crashing): boolean =>
  guard !== undefined && guard.quarantineMs(() => fingerprint) > 0;

test('requests of servers that failed for another reason are not quarantined, but the ends reported', (t) => {
  const guard = createGuard();
  [1, 2, 3].forEach((index) => {
    const server = serverNumber(index);
    guard.recordBrokenConnection(server, { ...broken(guard, crashing), isExcused: true });
    guard.recordServerGone(server);
  });
  t.false(isQuarantined(guard));
  t.is(guard.reports().length, 3);
});

test('a request that ran on several crashed servers is quarantined, but not one that ran beside it once', (t) => {
  const guard = createGuard();
  crashServer(guard, 1, [crashing, innocent]);
  crashServer(guard, 2);
  crashServer(guard, 3);
  t.true(isQuarantined(guard));
  t.false(isQuarantined(guard, innocent));
});

test('a lost response of a server that keeps running quarantines no request', (t) => {
  const clock = createManualClock();
  const guard = createGuard(clock);
  [1, 2, 3].forEach((index) => {
    guard.recordBrokenConnection(serverNumber(index), broken(guard, crashing));
    clock.advance(6_000);
    guard.recordServerGone(serverNumber(index));
  });
  t.false(isQuarantined(guard));
});

// A connection that had broken earlier, without a crash, hid the crash from all hosts.
test('a crash is noticed at a server whose connection had broken before', (t) => {
  const clock = createManualClock();
  const guard = createGuard(clock);
  [1, 2].forEach((index) => {
    guard.recordBrokenConnection(serverNumber(index), broken(guard, innocent));
    clock.advance(6_000);
    crashServer(guard, index);
  });
  t.true(isQuarantined(guard));
  t.false(guard.isSuspect(() => innocent));
});

test('a server that kept running is checked again after the next broken connection', async (t) => {
  let isRefused = false;
  const guard = createGuard(createManualClock(), async () => isRefused);
  const server = serverNumber(1);
  guard.recordBrokenConnection(server, broken(guard, innocent));
  await guard.investigate(server);
  t.false(guard.isSuspect(() => innocent));
  isRefused = true;
  guard.recordBrokenConnection(server, broken(guard, crashing));
  await guard.investigate(server);
  t.true(guard.isSuspect(() => crashing));
});

test('hosts that receive the crash reports quarantine the request too', (t) => {
  const clock = createManualClock();
  const guards = [1, 2].map(() => createGuard(clock));
  const [first, second] = guards;
  [1, 2, 3].forEach((index) => {
    const guard = guards[index % 2];
    guard?.recordBrokenConnection(serverNumber(index), broken(guard, crashing));
    guard?.retain(new Set());
  });
  second?.mergeReports(first?.reports() ?? []);
  t.true(isQuarantined(second));
});

test('a completed run clears a request', (t) => {
  const guard = createGuard();
  [1, 2, 3].forEach((index) => crashServer(guard, index));
  guard.recordCompletion(() => crashing);
  t.false(isQuarantined(guard));
});

// It crashed servers again a minute later, as its crashes had been forgotten.
test('a request that crashes a server after its quarantine is quarantined at once, and for longer', (t) => {
  const clock = createManualClock();
  const guard = createGuard(clock);
  crashServer(guard, 1);
  crashServer(guard, 2);
  t.is(
    guard.quarantineMs(() => crashing),
    MINUTE_MS,
  );
  t.not(
    guard.trialKey(() => crashing),
    undefined,
  );
  [4, 16, 60, 60].forEach((minutes, index) => {
    clock.advance(guard.quarantineMs(() => crashing));
    t.false(isQuarantined(guard));
    crashServer(guard, 3 + index);
    t.is(
      guard.quarantineMs(() => crashing),
      minutes * MINUTE_MS,
    );
  });
});

// All requests of a path were refused after the servers of a service had failed together.
test('servers that fail together quarantine no request, however many of them ran it', (t) => {
  const clock = createManualClock();
  const guard = createGuard(clock);
  const servers = [1, 2, 3, 4].map(serverNumber);
  servers.forEach((server) => guard.recordBrokenConnection(server, broken(guard, crashing)));
  servers.forEach((server) => guard.recordServerGone(server));
  t.false(isQuarantined(guard));
  t.true(guard.isSuspect(() => crashing));
});

test('a host that starts or is cut off during the crashes learns of the quarantine later', (t) => {
  const clock = createManualClock();
  const guard = createGuard(clock);
  crashServer(guard, 1, [crashing, innocent]);
  [2, 3].forEach((index) => crashServer(guard, index));
  clock.advance(10_000);
  const restarted = createGuard(clock);
  restarted.mergeReports(guard.reports());
  t.is(
    restarted.quarantineMs(() => crashing),
    guard.quarantineMs(() => crashing),
  );
  t.false(restarted.isSuspect(() => innocent));
  // It tells others in turn, as the first host may have stopped.
  const third = createGuard(clock);
  third.mergeReports(restarted.reports());
  t.true(isQuarantined(third));
});

// A heartbeat over the size of a datagram can't be sent, and its host seems to be gone.
test('the reports of many crashes of many requests fit into a datagram', (t) => {
  const clock = createManualClock();
  const guard = createGuard(clock);
  const requests = Array.from({ length: 300 }, (_, index) =>
    asId<Fingerprint>(index.toString(16).padStart(FINGERPRINT_LENGTH, '0')),
  );
  for (let server = 0; server < 40; server += 1) {
    crashServer(guard, server, [...requests.slice(server), ...requests.slice(0, server)]);
    if (server === 20) {
      clock.advance(10_000);
    }
  }
  crashServer(guard, 40, requests.slice(0, 1));
  crashServer(guard, 41, requests.slice(0, 1));
  t.true(isQuarantined(guard, requests[0]));
  const crashes = JSON.stringify(guard.reports());
  t.true(crashes.length < MAX_DATAGRAM_BYTES - OTHER_HEARTBEAT_BYTES, `${crashes.length} bytes`);
});

const HOSTS = 20;
const CRASHED_SERVERS = 14;
const REQUESTS_PER_HOST = 3;
/** Heartbeats that a host sends in a second to the hosts of all regions. */
const HEARTBEATS_PER_SECOND = 70;
/** Half of the smallest link of the deployments, 7 Mbit/s. */
const MAX_BYTES_PER_SECOND = 437_500;

/** Crashes servers that ran requests of every host, whose reports then reach all other hosts. */
function crashTogether(): { guards: readonly CrashGuard[]; requests: readonly Fingerprint[] } {
  const clock = createManualClock();
  const guards = Array.from({ length: HOSTS }, () => createGuard(clock));
  const requests: Fingerprint[] = [];
  guards.forEach((guard) => {
    for (let server = 0; server < CRASHED_SERVERS; server += 1) {
      const own = Array.from({ length: REQUESTS_PER_HOST }, (_, index) =>
        asId<Fingerprint>((requests.length + index).toString(16).padStart(FINGERPRINT_LENGTH, '0')),
      );
      requests.push(...own);
      crashServer(guard, server, own);
      guards.forEach((other) => other.mergeReports(guard.reports()));
    }
  });
  return { guards, requests };
}

// The reports of all hosts together filled the links of small hosts for seconds.
test('the crash reports of a host do not grow with the requests of other hosts', (t) => {
  const { guards } = crashTogether();
  guards.forEach((guard) => {
    const reports = guard.reports();
    t.true(reports.every(({ running }) => running.length <= REQUESTS_PER_HOST));
    const bytesPerSecond = JSON.stringify(reports).length * HEARTBEATS_PER_SECOND;
    t.true(bytesPerSecond <= MAX_BYTES_PER_SECOND, `${bytesPerSecond} bytes per second`);
  });
});

test('the crashes of many servers at the same moment are all reported to all hosts', (t) => {
  const { guards, requests } = crashTogether();
  guards.forEach((guard) => {
    t.is(guard.reports().length, CRASHED_SERVERS);
    t.true(requests.every((request) => guard.isSuspect(() => request)));
  });
});

test('a host reports all of its requests on a server whose crash it notices twice', (t) => {
  const guard = createGuard();
  crashServer(guard, 1, [crashing]);
  crashServer(guard, 1, [innocent]);
  t.deepEqual(
    guard.reports().map(({ running }) => running),
    [[crashing, innocent]],
  );
});
