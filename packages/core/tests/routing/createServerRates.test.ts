import test from 'ava';
import { createServerRates } from '../../src/routing/createServerRates.js';
import { serverId } from './fixtures.js';

const a = serverId('a');

test('the rates follow the observed prefill and service times', (t) => {
  const rates = createServerRates();
  for (let count = 0; count < 100; count += 1) {
    const prompt = { promptTokens: 2_000, cachedTokens: 0, queueMs: 0 };
    rates.observeFirstToken({ serverId: a, firstTokenMs: 400, ...prompt });
    rates.observeCompletion(a, 3_000);
  }
  t.true(Math.abs(rates.rateOf(a).prefillMsPerToken - 0.2) < 0.01);
  t.true(Math.abs(rates.rateOf(a).serviceMs - 3_000) < 10);
  // A new server is expected to behave like the others.
  t.true(Math.abs(rates.rateOf(serverId('new')).serviceMs - 3_000) < 10);
});

test('a server that reports blocks it does not have loses its cache advantage', (t) => {
  const rates = createServerRates({ prefillMsPerToken: 0.1 });
  for (let count = 0; count < 50; count += 1) {
    // 400 ms for 4,000 tokens: nothing was cached, although 3,900 tokens were expected to be.
    const claim = { promptTokens: 4_000, cachedTokens: 3_900, queueMs: 0 };
    rates.observeFirstToken({ serverId: a, firstTokenMs: 400, ...claim });
  }
  t.true(rates.rateOf(a).cacheSavingsRatio < 0.05);
  t.is(rates.rateOf(a).prefillMsPerToken, 0.1);
});

test('a first token that was delayed by queueing does not distort the rates', (t) => {
  const rates = createServerRates();
  const before = rates.rateOf(a);
  const waited = { firstTokenMs: 9_000, promptTokens: 2_000, cachedTokens: 0, queueMs: 5_000 };
  rates.observeFirstToken({ serverId: a, ...waited });
  t.deepEqual(rates.rateOf(a), before);
});
