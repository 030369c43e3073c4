import test from 'ava';
import { prefillRank } from '../../src/index.js';

const STEP_TOKENS = 2_048;
const STEP_MS = 36;

interface Prompt {
  readonly arrivesAtMs: number;
  readonly tokens: number;
  readonly rank: number;
}

/** Prefills the most urgent prompt first, in the order of arrival, and returns the times until then. */
function simulateEngine(prompts: readonly Prompt[], endMs: number): Map<Prompt, number> {
  const remainingTokens = new Map(prompts.map((prompt) => [prompt, prompt.tokens]));
  const durationsMs = new Map<Prompt, number>();
  for (let nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
    let budget = STEP_TOKENS;
    const waiting = [...remainingTokens.keys()]
      .filter(({ arrivesAtMs }) => arrivesAtMs <= nowMs)
      .sort((a, b) => a.rank - b.rank || a.arrivesAtMs - b.arrivesAtMs);
    for (const prompt of waiting) {
      const tokens = Math.min(budget, remainingTokens.get(prompt) ?? 0);
      budget -= tokens;
      remainingTokens.set(prompt, (remainingTokens.get(prompt) ?? 0) - tokens);
      if (remainingTokens.get(prompt) === 0) {
        remainingTokens.delete(prompt);
        durationsMs.set(prompt, nowMs + STEP_MS - prompt.arrivesAtMs);
      }
    }
  }
  return durationsMs;
}

// An engine that prefills urgent prompts all the time starves the others: short requests of a less
// urgent route waited 6 s for their first event, and their callers disconnected.
test('a short prompt gets the most urgent rank', (t) => {
  t.is(prefillRank(2, 628), 0);
});

test('a long prompt keeps the rank of its route', (t) => {
  t.is(prefillRank(2, 2_890), 2);
  t.is(prefillRank(0, 2_890), 0);
});

// Prompts of more than half a step waited behind urgent ones that arrived later: the estimate was
// 0.4 s, three in ten got no event, and the long requests of a route were served the least.
test('prompts of one step do not starve behind urgent ones that arrive later', (t) => {
  const endMs = 10_000;
  const arrivals = (intervalMs: number, prompt: Omit<Prompt, 'arrivesAtMs'>): Prompt[] =>
    Array.from({ length: Math.floor(endMs / intervalMs) }, (_, index) => ({
      ...prompt,
      arrivesAtMs: index * intervalMs,
    }));
  const urgent = arrivals(2 * STEP_MS, { tokens: 2 * STEP_TOKENS, rank: prefillRank(0, 4_096) });
  const ofOneStep = [1_100, 1_500, STEP_TOKENS].flatMap((tokens) =>
    arrivals(3_000, { tokens, rank: prefillRank(2, tokens) }),
  );
  const durationsMs = simulateEngine([...urgent, ...ofOneStep], endMs + 2_000);
  ofOneStep.forEach((prompt) => {
    t.true((durationsMs.get(prompt) ?? Infinity) <= 1_500, `${prompt.tokens} tokens`);
  });
  const latestUrgentMs = Math.max(...urgent.map((prompt) => durationsMs.get(prompt) ?? Infinity));
  t.true(latestUrgentMs <= 800, 'the urgent ones are in time as well');
});
