import test from 'ava';
import { asId, createManualClock, createPartSuspicion } from '../../src/index.js';
import type { PartSuspicion, PromptPartKey } from '../../src/index.js';

const key = (name: string): PromptPartKey => asId<PromptPartKey>(name);
const crashing = key('crashing');
const popular = key('popular');
const rare = key('rare');

interface CrashOptions {
  readonly parts: readonly PromptPartKey[];
  readonly trialParts?: readonly PromptPartKey[];
}

function createSubject() {
  const clock = createManualClock();
  const suspicion = createPartSuspicion(clock);
  let crashCount = 0;
  const crash = ({ parts, trialParts = [] }: CrashOptions, target = suspicion): void => {
    crashCount += 1;
    target.merge({
      crashes: [{ crashId: `crash-${crashCount}`, ageMs: 0, parts, trialParts }],
      served: [],
    });
    clock.advance(1);
  };
  const serve = (...parts: PromptPartKey[]): void => {
    suspicion.recordServed(parts);
    clock.advance(1);
  };
  return { clock, suspicion, crash, serve };
}

function statusOf(suspicion: PartSuspicion, ...parts: PromptPartKey[]): string {
  if (suspicion.blockedUntilMs(parts) > 0) {
    return 'blocked';
  }
  return suspicion.suspectsAmong(parts).length > 0 ? 'suspected' : 'clear';
}

test('a part whose trial crashes a second server is blocked, its companions are not', (t) => {
  const { suspicion, crash, serve } = createSubject();
  serve(popular);
  crash({ parts: [popular, crashing] });
  t.is(statusOf(suspicion, crashing), 'suspected');
  t.is(statusOf(suspicion, popular), 'clear');
  crash({ parts: [popular, crashing], trialParts: [crashing] });
  t.is(statusOf(suspicion, crashing), 'blocked');
  t.is(statusOf(suspicion, popular), 'clear');
});

test('of parts that crashed servers only together, each may still be tried alone', (t) => {
  const { suspicion, crash, serve } = createSubject();
  const parts = [popular, crashing];
  crash({ parts });
  crash({ parts, trialParts: parts });
  t.is(statusOf(suspicion, popular, crashing), 'blocked');
  t.is(statusOf(suspicion, popular), 'suspected');
  serve(popular);
  t.is(statusOf(suspicion, popular), 'clear');
  t.is(statusOf(suspicion, crashing), 'blocked');
});

test('crashes that a blocked part explains do not count against the parts beside it', (t) => {
  const { suspicion, crash, serve } = createSubject();
  serve(popular);
  [1, 2, 3].forEach(() => crash({ parts: [popular, crashing], trialParts: [crashing] }));
  t.is(statusOf(suspicion, crashing), 'blocked');
  t.is(statusOf(suspicion, popular), 'clear');
});

test('a response on a part acquits it of earlier crashes, but not of later ones', (t) => {
  const { suspicion, crash, serve } = createSubject();
  crash({ parts: [rare] });
  t.is(statusOf(suspicion, rare), 'suspected');
  serve(rare);
  t.is(statusOf(suspicion, rare), 'clear');
  crash({ parts: [rare] });
  crash({ parts: [rare] });
  t.is(statusOf(suspicion, rare), 'suspected');
  crash({ parts: [rare], trialParts: [rare] });
  t.is(statusOf(suspicion, rare), 'blocked');
});

test('simultaneous crashes, as of a zone, block no part', (t) => {
  const { suspicion, crash } = createSubject();
  [1, 2, 3, 4, 5].forEach(() => crash({ parts: [popular] }));
  t.is(statusOf(suspicion, popular), 'suspected');
});

test('a block ends for another trial, and each failed trial makes it longer', (t) => {
  const { clock, suspicion, crash } = createSubject();
  const blockedForMs = (): number => suspicion.blockedUntilMs([crashing]) - clock.monotonicMs();
  crash({ parts: [crashing] });
  crash({ parts: [crashing], trialParts: [crashing] });
  const firstMs = blockedForMs();
  clock.advance(firstMs);
  t.is(statusOf(suspicion, crashing), 'suspected');
  crash({ parts: [crashing], trialParts: [crashing] });
  t.is(statusOf(suspicion, crashing), 'blocked');
  t.true(blockedForMs() > 2 * firstMs);
});

test('a host that restarts learns of a blocked part from the evidence of any other host', (t) => {
  const { clock, suspicion, crash } = createSubject();
  crash({ parts: [crashing] });
  crash({ parts: [crashing], trialParts: [crashing] });
  clock.advance(8_000);
  const restarted = createPartSuspicion(clock);
  restarted.merge(suspicion.evidence());
  t.is(statusOf(restarted, crashing), 'blocked');
  t.true(restarted.blockedUntilMs([crashing]) <= suspicion.blockedUntilMs([crashing]));
});

test('evidence of two hosts about the same crashes is the same in any order', (t) => {
  const { clock, suspicion, crash, serve } = createSubject();
  const other = createPartSuspicion(clock);
  crash({ parts: [popular, crashing] });
  const earlier = suspicion.evidence();
  serve(popular);
  const later = suspicion.evidence();
  [later, earlier, later].forEach((evidence) => other.merge(evidence));
  t.is(statusOf(other, crashing), 'suspected');
  t.is(statusOf(other, popular), 'clear');
});

test('a host that hears of a crash late tells the reporter of the response since', (t) => {
  const { clock, suspicion: reporter, crash } = createSubject();
  const server = createPartSuspicion(clock);
  crash({ parts: [popular] });
  server.recordServed([popular]);
  clock.advance(10);
  server.merge(reporter.evidence());
  reporter.merge(server.evidence());
  t.is(statusOf(reporter, popular), 'clear');
});

test('evidence is bounded and keeps the most suspect parts', (t) => {
  const { suspicion, crash, serve } = createSubject();
  const parts = Array.from({ length: 100 }, (_, index) => key(`part-${index}`));
  serve(...parts);
  for (let count = 0; count < 50; count += 1) {
    crash({ parts: [...parts, crashing], trialParts: count > 0 ? [crashing] : [] });
  }
  const evidence = suspicion.evidence();
  t.true(JSON.stringify(evidence).length < 8_000);
  t.true(evidence.crashes.every((report) => report.parts.includes(crashing)));
});

// Every host of a region of 65 sent the evidence of all others to the 130 hosts of other regions.
test('own evidence leaves out what only other hosts observed', (t) => {
  const { clock, suspicion: peer, crash, serve } = createSubject();
  crash({ parts: [popular] });
  crash({ parts: [popular] });
  serve(popular);
  const host = createPartSuspicion(clock);
  host.merge(peer.evidence());
  t.deepEqual(host.evidence('own'), { crashes: [], served: [] });
  host.recordCrash({ crashId: 'own', ageMs: 0, parts: [rare], trialParts: [] });
  t.deepEqual(
    host.evidence('own').crashes.map(({ crashId }) => crashId),
    ['own'],
  );
  clock.advance(1);
  host.recordServed([rare]);
  t.deepEqual(
    host.evidence('own').served.map(({ part }) => part),
    [rare],
  );
});
