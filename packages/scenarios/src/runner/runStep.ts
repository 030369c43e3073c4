import type { Step } from '../language/Step.js';
import type { ScenarioContext } from './ScenarioContext.js';
import { runExpectation } from './runExpectation.js';
import { runChangeConfig } from './verbs/runChangeConfig.js';
import { runNetworkStep } from './verbs/runNetworkStep.js';
import { runProcessStep } from './verbs/runProcessStep.js';
import { runRace } from './verbs/runRace.js';
import { runSend } from './verbs/runSend.js';
import { runStoreStep } from './verbs/runStoreStep.js';
import { runWait } from './verbs/runWait.js';

async function runAction(
  context: ScenarioContext,
  step: Exclude<Step, { do: 'expect' }>,
): Promise<void> {
  switch (step.do) {
    case 'start':
      return undefined;
    case 'send':
    case 'crashRequest':
      return runSend(context, step);
    case 'wait':
      return runWait(context, step);
    case 'kill':
    case 'freeze':
    case 'thaw':
    case 'restart':
    case 'drain':
    case 'leave':
    case 'removeFromHostList':
      return runProcessStep(context, step);
    case 'cut':
    case 'delay':
    case 'heal':
    case 'silence':
      return runNetworkStep(context, step);
    case 'loseStoreAnswers':
    case 'stallStore':
    case 'storeDown':
    case 'snapshotStore':
    case 'restoreStore':
    case 'stall':
      return runStoreStep(context, step);
    case 'changeConfig':
      return runChangeConfig(context, step);
    case 'race':
      return runRace(context, step);
  }
}

/** Runs one step; resolves to descriptions of the expectations that do not hold. */
export async function runStep(context: ScenarioContext, step: Step): Promise<string[]> {
  if (step.do === 'expect') {
    return runExpectation(context, step);
  }
  await runAction(context, step);
  return [];
}
