import type { RandomSource } from '@camphorbarrow/core';
import type { StartCase, StartSignal } from './StartCase.js';

/** Ports in the settings of `buildSettings`, and the one of the metrics. */
const PORTS = [
  { protocol: 'tcp', port: 8144 },
  { protocol: 'tcp', port: 8140 },
  { protocol: 'tcp', port: 8143 },
  { protocol: 'tcp', port: 7660 },
  { protocol: 'tcp', port: 9464 },
  { protocol: 'udp', port: 7660 },
] as const;
const SETTINGS = ['complete', 'complete', 'cut', 'missing', 'malformed'] as const;
const SIGNALS: readonly StartSignal[] = ['SIGHUP', 'SIGHUP', 'SIGHUP', 'SIGTERM', 'SIGINT'];
const RESTARTS = ['none', 'none', 'after-exit', 'at-once'] as const;
const HELD_PORT_RATIO = 0.4;
const MAX_SIGNALS = 3;
const MAX_SIGNAL_MS = 200;
const MAX_WAIT_MS = 1_000;

/** Generates starts. The same random numbers yield the same starts. */
export function planStarts(random: RandomSource, count: number): readonly StartCase[] {
  const pick = <T>(values: readonly T[]): T =>
    values[Math.floor(random.next() * values.length)] as T;
  // Discarded: with small seeds, the first random number hardly depends on the seed.
  random.next();
  return Array.from({ length: count }, () => ({
    settings: pick(SETTINGS),
    settingsAtMs: random.next() * MAX_WAIT_MS,
    cutRatio: random.next(),
    heldPort:
      random.next() < HELD_PORT_RATIO
        ? { ...pick(PORTS), untilMs: random.next() * MAX_WAIT_MS }
        : undefined,
    signals: Array.from({ length: Math.floor(random.next() * (MAX_SIGNALS + 1)) }, () => ({
      signal: pick(SIGNALS),
      atMs: random.next() * MAX_SIGNAL_MS,
    })).sort((first, second) => first.atMs - second.atMs),
    restart: pick(RESTARTS),
  }));
}
