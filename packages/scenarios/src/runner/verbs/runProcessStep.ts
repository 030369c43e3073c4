import type { StepOf } from '../../language/Step.js';
import { refusesConnections } from '../../launcher/refusesConnections.js';
import { requestJson } from '../../launcher/requestJson.js';
import { waitUntil } from '../../launcher/waitUntil.js';
import type { ScenarioContext } from '../ScenarioContext.js';
import { chooseTarget } from '../chooseTarget.js';
import { requireProcess } from '../requireProcess.js';

type ProcessStep = StepOf<
  'kill' | 'freeze' | 'thaw' | 'restart' | 'drain' | 'leave' | 'removeFromHostList'
>;

const REFUSED_CONNECTION_TIMEOUT_MS = 5_000;

async function removeFromHostList(context: ScenarioContext, serverId: string): Promise<void> {
  const url = `${requireProcess(context, 'hostlist').directUrl}/v1/hosts`;
  const { hosts } = (await requestJson('GET', url)) as { hosts: { serverId: string }[] };
  await requestJson('PUT', url, { hosts: hosts.filter((host) => host.serverId !== serverId) });
}

/** Runs a step that acts on one process. */
export async function runProcessStep(context: ScenarioContext, step: ProcessStep): Promise<void> {
  const target = chooseTarget(step.target, context.random);
  const deployed = requireProcess(context, target);
  switch (step.do) {
    case 'kill':
      await deployed.process.close();
      // The relay detects the exit shortly after; until then it accepts and resets connections.
      await waitUntil(`${target} refuses connections`, REFUSED_CONNECTION_TIMEOUT_MS, () =>
        refusesConnections(deployed.url),
      );
      return undefined;
    case 'freeze':
      return deployed.process.signal('SIGSTOP');
    case 'thaw':
      return deployed.process.signal('SIGCONT');
    case 'drain':
      return deployed.process.signal('SIGTERM');
    case 'restart':
      return context.deployment.restart(target);
    case 'leave':
      await requestJson('POST', `${deployed.directUrl}/leave`, {});
      return undefined;
    case 'removeFromHostList':
      return removeFromHostList(context, target);
  }
}
