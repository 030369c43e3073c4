import test from 'ava';
import fc from 'fast-check';
import type { CrashReport } from '../../src/quarantine/CrashReport.js';
import type { Fingerprint } from '../../src/ids/Fingerprint.js';
import type { Incarnation } from '../../src/ids/Incarnation.js';
import type { ServerId } from '../../src/ids/ServerId.js';
import { asId } from '../../src/ids/asId.js';
import { createCrashTracker } from '../../src/quarantine/createCrashTracker.js';
import { createManualClock } from '../../src/time/createManualClock.js';

const HOLD_MS = 600_000;
const fingerprint = (name: string): Fingerprint => asId<Fingerprint>(name);

function crash(
  server: string,
  running: readonly string[],
  suspects: readonly string[] = [],
): CrashReport {
  return {
    serverId: asId<ServerId>(server),
    incarnation: asId<Incarnation>('1'),
    running: running.map(fingerprint),
    suspects: suspects.map(fingerprint),
  };
}

function createTracker() {
  const clock = createManualClock();
  return { clock, tracker: createCrashTracker({ clock, holdMs: () => HOLD_MS }) };
}

test('a crash is divided between the running requests, or between the suspects among them', (t) => {
  const { tracker } = createTracker();
  tracker.merge(crash('s1', ['bad', 'a', 'b', 'c']));
  t.is(tracker.crashScore(fingerprint('a')), 0.25);
  tracker.merge(crash('s2', ['bad', 'd', 'e'], ['bad']));
  t.is(tracker.crashScore(fingerprint('bad')), 1.25);
  t.is(tracker.crashScore(fingerprint('d')), 0);
});

test('a crash that several entry hosts report counts once', (t) => {
  const { tracker } = createTracker();
  tracker.merge(crash('s1', ['bad']));
  tracker.merge(crash('s1', ['a']));
  tracker.merge(crash('s1', ['bad']));
  t.is(tracker.crashScore(fingerprint('bad')), 0.5);
});

test('a completed run clears the crash score, and crashes expire after the hold time', (t) => {
  const { tracker, clock } = createTracker();
  tracker.merge(crash('s1', ['a', 'b']));
  tracker.clear(fingerprint('a'));
  t.is(tracker.crashScore(fingerprint('a')), 0);
  t.is(tracker.crashScore(fingerprint('b')), 0.5);
  clock.advance(HOLD_MS + 1);
  t.is(tracker.crashScore(fingerprint('b')), 0);
});

test('the order in which reports arrive does not change the crash scores', (t) => {
  const names = fc.subarray(['a', 'b', 'c', 'd'], { minLength: 1 });
  const report = fc
    .record({ server: fc.constantFrom('s1', 's2', 's3'), running: names, suspects: names })
    .map(({ server, running, suspects }) =>
      crash(
        server,
        running,
        suspects.filter((name) => running.includes(name)),
      ),
    );
  fc.assert(
    fc.property(fc.array(report), (reports) => {
      const first = createTracker().tracker;
      const second = createTracker().tracker;
      reports.forEach((entry) => first.merge(entry));
      [...reports].reverse().forEach((entry) => second.merge(entry));
      return ['a', 'b', 'c', 'd'].every(
        (name) =>
          Math.abs(first.crashScore(fingerprint(name)) - second.crashScore(fingerprint(name))) <
          1e-9,
      );
    }),
    { seed: 20261204 },
  );
  t.pass();
});

test('crashes of servers that fail together count once, and later ones of suspects in full', (t) => {
  const { tracker } = createTracker();
  tracker.merge(crash('s1', ['a', 'b']));
  tracker.merge(crash('s2', ['a']));
  tracker.merge(crash('s3', ['a', 'b', 'c', 'd']));
  t.is(tracker.crashScore(fingerprint('a')), 1);
  tracker.merge(crash('s4', ['a'], ['a']));
  t.is(tracker.crashScore(fingerprint('a')), 2);
});

test('a report that lists only some requests has the shares of the whole one', (t) => {
  const { tracker } = createTracker();
  tracker.merge({ ...crash('s1', ['a']), runningCount: 4 });
  t.is(tracker.crashScore(fingerprint('a')), 0.25);
  tracker.merge({ ...crash('s2', ['b'], ['b']), runningCount: 4, suspectCount: 2 });
  t.is(tracker.crashScore(fingerprint('b')), 0.5);
  tracker.merge(crash('s2', ['a', 'b', 'c', 'd'], ['b', 'c']));
  t.is(tracker.crashScore(fingerprint('b')), 0.5);
});

test('the age of a report counts, so that a crash expires everywhere at once', (t) => {
  const { tracker, clock } = createTracker();
  tracker.merge({ ...crash('s1', ['a']), ageMs: HOLD_MS - 1_000 });
  t.is(tracker.crashScore(fingerprint('a')), 1);
  clock.advance(1_001);
  t.is(tracker.crashScore(fingerprint('a')), 0);
});

// The memory grew with the crashes of many servers that each ran many requests.
test('the requests of all crashes are limited, and those of several crashes stay longest', (t) => {
  const { tracker } = createTracker();
  tracker.merge(crash('bad-1', ['bad']));
  tracker.merge(crash('bad-2', ['bad'], ['bad']));
  for (let server = 0; server < 200; server += 1) {
    const running = Array.from({ length: 200 }, (_, index) => `${server} ${index}`);
    tracker.merge(crash(`s${server}`, running));
  }
  t.true(tracker.crashCount() <= 16_384 / 200 + 2);
  t.is(tracker.crashScore(fingerprint('bad')), 2);
  t.is(tracker.crashScore(fingerprint('0 0')), 0);
  t.is(tracker.crashScore(fingerprint('199 0')), 1 / 200);
});
