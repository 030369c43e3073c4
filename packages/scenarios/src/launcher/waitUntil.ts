import { setTimeout as delay } from 'node:timers/promises';
import { ScenarioError } from '../errors/ScenarioError.js';

const CHECK_INTERVAL_MS = 25;

/**
 * Waits until the condition holds. A condition that throws or rejects counts as not met.
 *
 * @throws ScenarioError when the condition does not hold within the timeout
 */
export async function waitUntil(
  description: string,
  timeoutMs: number,
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    const holds = await Promise.resolve()
      .then(condition)
      .catch(() => false);
    if (holds) {
      return;
    }
    await delay(CHECK_INTERVAL_MS);
  }
  throw new ScenarioError(`Timed out after ${timeoutMs} ms waiting until ${description}.`);
}
