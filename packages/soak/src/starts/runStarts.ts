import { createSeededRandom } from '@camphorbarrow/core';
import { loopbackAddress } from '@camphorbarrow/platform/testing';
import { checkStart } from './checkStart.js';
import type { StartResult } from './checkStart.js';
import { planStarts } from './planStarts.js';
import type { StartCommand } from './spawnStart.js';
import type { StartCase } from './StartCase.js';

export interface StartsOptions {
  readonly seed: number;
  readonly count: number;
  /** Number of hosts that are started at a time, at most 16. */
  readonly parallel: number;
  readonly command: StartCommand;
}

export interface CheckedStart extends StartResult {
  readonly index: number;
  readonly startCase: StartCase;
}

/** Starts hosts, several at a time, with what a seed puts in their way. */
export async function runStarts(options: StartsOptions): Promise<readonly CheckedStart[]> {
  const remaining = [...planStarts(createSeededRandom(options.seed), options.count).entries()];
  const results: CheckedStart[] = [];

  async function runLane(lane: number): Promise<void> {
    for (let next = remaining.shift(); next !== undefined; next = remaining.shift()) {
      const [index, startCase] = next;
      const result = await checkStart(startCase, options.command, loopbackAddress(lane));
      results.push({ index, startCase, ...result });
    }
  }

  await Promise.all(Array.from({ length: options.parallel }, (_, lane) => runLane(lane)));
  return results.sort((first, second) => first.index - second.index);
}
