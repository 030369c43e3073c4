import type { StepOf } from '../../language/Step.js';
import { requestJson } from '../../launcher/requestJson.js';
import type { ScenarioContext } from '../ScenarioContext.js';
import { requireProcess } from '../requireProcess.js';

const WRITE_ROUTE = '/v3/kv/txn';
const NO_FAULTS = { delayMs: 0, loseAnswers: false, loseNextAnswers: 0, unavailable: false };

/**
 * Sets or clears faults of the key-value service, saves or restores its data, or delays the responses
 * of a stand-in.
 */
export async function runStoreStep(
  context: ScenarioContext,
  step: StepOf<
    'loseStoreAnswers' | 'stallStore' | 'storeDown' | 'snapshotStore' | 'restoreStore' | 'stall'
  >,
): Promise<void> {
  const store = requireProcess(context, 'store').directUrl;
  const control = (faults: object): Promise<unknown> =>
    requestJson('POST', `${store}/control`, faults);
  switch (step.do) {
    case 'loseStoreAnswers':
      await control({
        loseAnswersTo: step.writesOnly ? WRITE_ROUTE : '/',
        ...(step.count === undefined ? { loseAnswers: true } : { loseNextAnswers: step.count }),
      });
      return;
    case 'stallStore':
      await control({ delayMs: step.delayMs });
      return;
    case 'storeDown':
      await control({ unavailable: true });
      return;
    case 'snapshotStore':
      await requestJson('POST', `${store}/snapshot`, {});
      return;
    case 'restoreStore':
      await control(NO_FAULTS);
      if (step.data === 'old') {
        await requestJson('POST', `${store}/restore`, {});
      }
      return;
    case 'stall': {
      const { directUrl } = requireProcess(context, step.target);
      await requestJson('POST', `${directUrl}/control`, { delayMs: step.delayMs });
    }
  }
}
