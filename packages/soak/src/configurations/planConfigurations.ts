import type { RandomSource } from '@camphorbarrow/core';
import type { ConfigurationStep, EntryKind, KillScope } from './ConfigurationStep.js';

const ENTRIES: readonly EntryKind[] = [
  'next',
  'next',
  'version-far-ahead',
  'long-duration',
  'many-routes',
  'cut',
  'other-shape',
  'no-version',
];
const KILLS: readonly KillScope[] = ['none', 'north', 'south', 'all-but-one', 'all', 'all', 'all'];
const LINKS = [
  { bytesPerSecond: Infinity, delayMs: 0 },
  { bytesPerSecond: Infinity, delayMs: 0 },
  { bytesPerSecond: 60_000, delayMs: 0 },
  { bytesPerSecond: 150_000, delayMs: 300 },
  { bytesPerSecond: Infinity, delayMs: 1_500 },
] as const;
const MAX_KILL_AFTER_MS = 900;
const MIN_RESTART_AFTER_MS = 100;
const MAX_RESTART_AFTER_MS = 1_000;

/** Generates steps. The same random numbers yield the same steps. */
export function planConfigurations(
  random: RandomSource,
  count: number,
): readonly ConfigurationStep[] {
  const pick = <T>(values: readonly T[]): T =>
    values[Math.floor(random.next() * values.length)] as T;
  // Discarded: with small seeds, the first random number hardly depends on the seed.
  random.next();
  return Array.from({ length: count }, () => ({
    entry: pick(ENTRIES),
    kill: pick(KILLS),
    killAfterMs: random.next() * MAX_KILL_AFTER_MS,
    restartAfterMs:
      MIN_RESTART_AFTER_MS + random.next() * (MAX_RESTART_AFTER_MS - MIN_RESTART_AFTER_MS),
    link: pick(LINKS),
  }));
}
