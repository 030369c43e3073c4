import type { StepOf } from '../../language/Step.js';
import { startProcess } from '../../launcher/startProcess.js';
import type { ScenarioContext } from '../ScenarioContext.js';
import { processOf } from '../processOf.js';

const DAEMON = 'dist/camphorbarrow.cjs';
const PLACEHOLDER = /\{(url|key):([a-z0-9-]+)\}/g;

/** Replaces `{url:HOST}` and `{key:OPERATOR}`. */
function fillIn(context: ScenarioContext, argument: string): string {
  return argument.replace(PLACEHOLDER, (_, kind: string, name: string) =>
    kind === 'url'
      ? processOf(context, name).url
      : (context.deployment.operatorKeys[name] ?? `unknown-operator-${name}`),
  );
}

/** Starts commands of the binary at the same time and waits for all of them. */
export async function runRace(context: ScenarioContext, step: StepOf<'race'>): Promise<void> {
  const processes = step.commands.map((command, index) =>
    startProcess({
      name: `${step.id}-${index + 1}`,
      program: DAEMON,
      args: command.map((argument) => fillIn(context, argument)),
    }),
  );
  context.races.set(step.id, await Promise.all(processes.map((one) => one.exited())));
}
