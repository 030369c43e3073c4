import { readFile } from 'node:fs/promises';
import { parseJsonc } from '@camphorbarrow/core';
import { scenarioSchema } from './scenarioSchema.js';
import type { Scenario } from './scenarioSchema.js';

/**
 * Reads a scenario file.
 *
 * @throws SettingsError with line and field of every problem when the file is invalid
 */
export async function readScenario(file: string): Promise<Scenario> {
  return parseJsonc(file, await readFile(file, 'utf8'), scenarioSchema);
}
