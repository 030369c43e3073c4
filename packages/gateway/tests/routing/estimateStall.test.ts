import test from 'ava';
import { estimateStallMs } from '../../src/index.js';

const GAP_MS = 400;

test('prompts that fit between two events stall no stream', (t) => {
  t.is(estimateStallMs({ prefillMs: 200, running: 20, targetGapMs: GAP_MS }), 0);
});

// On the Qureshi site, 711 of 1,697 streams of a run had a gap of more than 400 ms and 2 of 1,220 short
// ones a late first event: prompts in a row kept the engines from producing tokens.
test('a prompt that stalls streams goes where fewer of them run, though it waits for longer', (t) => {
  const busy = estimateStallMs({ prefillMs: 450, running: 20, targetGapMs: GAP_MS });
  const waitMs = 300;
  const quiet = waitMs + estimateStallMs({ prefillMs: 450, running: 2, targetGapMs: GAP_MS });
  t.true(quiet < busy);
});

test('each further stream counts the same, and a longer stall at most as much as a whole one', (t) => {
  const stall = (prefillMs: number, running: number): number =>
    estimateStallMs({ prefillMs, running, targetGapMs: GAP_MS });
  t.is(stall(10_000, 20), 2 * stall(10_000, 10));
  t.is(stall(10_000, 10), stall(1_000, 10));
  t.true(stall(350, 10) < stall(450, 10));
});
