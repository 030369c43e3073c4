import type { StepOf } from '../language/Step.js';
import type { ScenarioContext } from './ScenarioContext.js';
import { expectCalls } from './expectations/expectCalls.js';
import { expectExecuted } from './expectations/expectExecuted.js';
import { expectMarker } from './expectations/expectMarker.js';
import { expectNoWorkAfterLeaving } from './expectations/expectNoWorkAfterLeaving.js';
import {
  expectConfigVersion,
  expectEntryHosts,
  expectExit,
  expectRace,
  expectRunning,
} from './expectations/expectState.js';

/** Checks one expectation; resolves to descriptions of what does not hold. */
export async function runExpectation(
  context: ScenarioContext,
  step: StepOf<'expect'>,
): Promise<string[]> {
  switch (step.that) {
    case 'calls':
      return expectCalls(context, step);
    case 'executed':
      return expectExecuted(context, step);
    case 'noWorkAfterLeaving':
      return expectNoWorkAfterLeaving(context, step);
    case 'marker':
      return expectMarker(context, step);
    case 'exit':
      return expectExit(context, step);
    case 'running':
      return expectRunning(context, step);
    case 'configVersion':
      return expectConfigVersion(context, step);
    case 'entryHosts':
      return expectEntryHosts(context, step);
    case 'race':
      return expectRace(context, step);
  }
}
