import { ScenarioError } from '../errors/ScenarioError.js';
import type { NetworkControl } from '../launcher/createNetworkControl.js';
import type { ScenarioContext } from './ScenarioContext.js';

export function requireNetwork({ deployment }: ScenarioContext): NetworkControl {
  if (deployment.network === undefined) {
    throw new ScenarioError('The deployment has no relay.');
  }
  return deployment.network;
}
