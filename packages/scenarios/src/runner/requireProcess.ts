import { ScenarioError } from '../errors/ScenarioError.js';
import type { DeployedProcess } from '../launcher/Deployment.js';
import type { ScenarioContext } from './ScenarioContext.js';

/** @throws ScenarioError when the deployment has no process of that name */
export function requireProcess({ deployment }: ScenarioContext, name: string): DeployedProcess {
  const found = deployment.processes.get(name);
  if (found === undefined) {
    throw new ScenarioError(`The deployment has no process ${name}.`);
  }
  return found;
}
