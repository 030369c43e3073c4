import { readFile } from 'node:fs/promises';
import { parseJsonc } from '@camphorbarrow/core';
import { scenarioSchema } from './scenarioSchema.js';
import type { Scenario } from './scenarioSchema.js';

/**
 * Reads a scenario file.
 *
 * @throws SettingsError naming line and field of every problem
 */
export async function readScenario(file: string): Promise<Scenario> {
  return parseJsonc(file, await readFile(file, 'utf8'), scenarioSchema);
}
