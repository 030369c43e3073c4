import { setImmediate as nextTurn } from 'node:timers/promises';
import test from 'ava';
import { DrainingError, createManualClock } from '@camphorbarrow/core';
import type { ManualClock } from '@camphorbarrow/core';
import { createDrain } from '../../src/entryHost/createDrain.js';
import type { Drain } from '../../src/entryHost/createDrain.js';

const STEER_MS = 3_000;
const MAX_DRAIN_MS = 5_000;
const noop = (): void => undefined;

async function startDrain(maxDrainMs?: number): Promise<{ clock: ManualClock; drain: Drain }> {
  const clock = createManualClock();
  const log = { info: noop, warn: noop, error: noop };
  const drain = createDrain({ clock, log, settings: { steerMs: STEER_MS, maxDrainMs } });
  const listener = { inFlight: () => 1, idle: () => new Promise<void>(noop) };
  void drain.run(listener, async () => undefined);
  await nextTurn();
  return { clock, drain };
}

// Guards against requests that are cut because they outlast the drain that took them.
test('a draining host rejects requests that may end after its connections close', async (t) => {
  const { clock, drain } = await startDrain(MAX_DRAIN_MS);
  t.notThrows(() => drain.requireAccepting());
  t.notThrows(() => drain.requireAccepting(STEER_MS + MAX_DRAIN_MS));
  t.throws(() => drain.requireAccepting(STEER_MS + MAX_DRAIN_MS + 1), {
    instanceOf: DrainingError,
  });
  clock.advance(STEER_MS);
  await nextTurn();
  t.throws(() => drain.requireAccepting(STEER_MS + 1), { instanceOf: DrainingError });
});

test('a drain without a time limit takes requests of any length at first', async (t) => {
  const { drain } = await startDrain();
  t.notThrows(() => drain.requireAccepting(3_600_000));
});

test('a host that does not drain takes requests of any length', (t) => {
  const log = { info: noop, warn: noop, error: noop };
  const settings = { steerMs: STEER_MS, maxDrainMs: MAX_DRAIN_MS };
  const drain = createDrain({ clock: createManualClock(), log, settings });
  t.notThrows(() => drain.requireAccepting(3_600_000));
});
