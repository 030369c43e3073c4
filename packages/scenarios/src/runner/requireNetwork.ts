import { ScenarioError } from '../errors/ScenarioError.js';
import type { NetworkControl } from '../launcher/createNetworkControl.js';
import type { ScenarioContext } from './ScenarioContext.js';

/** @throws ScenarioError when the deployment has no relay */
export function requireNetwork({ deployment }: ScenarioContext): NetworkControl {
  if (deployment.network === undefined) {
    throw new ScenarioError('The deployment has no relay.');
  }
  return deployment.network;
}
