import { setTimeout as delay } from 'node:timers/promises';
import type { StepOf } from '../../language/Step.js';
import { waitUntil } from '../../launcher/waitUntil.js';
import type { ScenarioContext } from '../ScenarioContext.js';
import { chooseDurationMs } from '../chooseDurationMs.js';

const STREAMING_TIMEOUT_MS = 30_000;

/** Waits for background calls, if the step names any, and then for the step's duration. */
export async function runWait(context: ScenarioContext, step: StepOf<'wait'>): Promise<void> {
  const group = context.callGroups.get(step.calls ?? '');
  if (group !== undefined && step.until === 'answered') {
    await group.done;
  } else if (group !== undefined) {
    await waitUntil(
      `all calls of ${step.calls} are streaming`,
      STREAMING_TIMEOUT_MS,
      () => group.streamingCount() === group.count,
    );
  }
  await delay(chooseDurationMs(step.forMs ?? 0, context.random));
}
