import test from 'ava';
import { createVirtualClock } from '../../src/clock/createVirtualClock.js';
import type { EngineJob } from '../../src/fakes/EngineJob.js';
import { createFakeEngine } from '../../src/fakes/createFakeEngine.js';
import { smallWorkload } from '../smallWorkload.js';

const noop = (): void => undefined;

function jobOf(overrides: Partial<EngineJob>): EngineJob {
  return {
    priority: 0,
    promptTokens: 1_280,
    outputTokens: 4,
    blockHashes: ['a', 'b', 'c', 'd', 'e'],
    onCacheLookup: noop,
    onToken: noop,
    onDone: noop,
    onBroken: noop,
    ...overrides,
  };
}

test('a full engine rejects jobs, and starts waiting jobs by priority, then arrival', async (t) => {
  const clock = createVirtualClock();
  const { engine: settings } = await smallWorkload('gremio');
  const engine = createFakeEngine({
    serverId: 's',
    clock,
    random: { next: () => 0.5 },
    settings: { ...settings, maxConcurrentRequests: 1, maxWaitingRequests: 2 },
  });
  const done: string[] = [];
  const submit = (name: string, priority: number): boolean =>
    engine.submit(jobOf({ priority, onDone: () => done.push(name) })) !== undefined;
  t.deepEqual(
    [submit('first', 10), submit('patient', 10), submit('urgent', 0), submit('rejected', 0)],
    [true, true, true, false],
  );
  await clock.runUntil(5_000);
  t.deepEqual(done, ['first', 'urgent', 'patient']);
});

test('a cached prefix shortens the time to the first token', async (t) => {
  const clock = createVirtualClock();
  const { engine: settings } = await smallWorkload('gremio');
  const engine = createFakeEngine({ serverId: 's', clock, random: { next: () => 0.5 }, settings });
  const firstTokenAtMs: number[] = [];
  const cached: number[] = [];
  const submit = (): void => {
    const startMs = clock.monotonicMs();
    engine.submit(
      jobOf({
        onCacheLookup: (tokens) => cached.push(tokens),
        onToken: (index) => index === 0 && firstTokenAtMs.push(clock.monotonicMs() - startMs),
      }),
    );
  };
  submit();
  await clock.runUntil(1_000);
  submit();
  await clock.runUntil(2_000);
  t.deepEqual(cached, [0, 1_279]);
  // The first prompt is prefilled in ten chunks of 128 tokens, the cached one in a single chunk.
  t.true((firstTokenAtMs[0] ?? 0) > 8 * (firstTokenAtMs[1] ?? Infinity));
});

test('jobs of a stopped engine fail once and produce no tokens afterwards', async (t) => {
  const clock = createVirtualClock();
  const { engine: settings } = await smallWorkload('gremio');
  const engine = createFakeEngine({ serverId: 's', clock, random: { next: () => 0.5 }, settings });
  let broken = 0;
  engine.submit(
    jobOf({
      outputTokens: 1_000,
      onBroken: () => {
        broken += 1;
      },
      onToken: () => t.is(broken, 0),
      onDone: () => t.fail(),
    }),
  );
  await clock.runUntil(500);
  engine.stop();
  await clock.runUntil(60_000);
  t.is(broken, 1);
});
