import type { StepOf } from '../../language/Step.js';
import type { ScenarioContext } from '../ScenarioContext.js';
import { requireNetwork } from '../requireNetwork.js';

/** Runs a step that changes the relay's rules or silences connections. */
export async function runNetworkStep(
  context: ScenarioContext,
  step: StepOf<'cut' | 'delay' | 'heal' | 'silence'>,
): Promise<void> {
  const network = requireNetwork(context);
  switch (step.do) {
    case 'cut':
      await network.setRule(step.id, { from: step.from, to: step.to, cut: step.mode });
      if (!step.oneWay) {
        await network.setRule(`${step.id}-back`, { from: step.to, to: step.from, cut: step.mode });
      }
      return;
    case 'delay':
      await network.setRule(step.id, { from: step.from, to: step.to, delayMs: step.delayMs });
      return;
    case 'heal':
      await network.removeRule(step.id);
      await network.removeRule(`${step.id}-back`);
      return;
    case 'silence':
      await network.silence(step.from, step.to);
  }
}
