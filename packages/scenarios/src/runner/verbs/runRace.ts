import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import type { StepOf } from '../../language/Step.js';
import { startProcess } from '../../launcher/startProcess.js';
import type { ScenarioContext } from '../ScenarioContext.js';
import { requireProcess } from '../requireProcess.js';

const DAEMON = 'dist/camphorbarrow.cjs';
const PLACEHOLDER = /\{(peer|keyFile|file):([a-z0-9-]+)\}/g;

/** Writes the step's files and the operators' keys; resolves to a function for their paths. */
async function writeFiles(
  { deployment }: ScenarioContext,
  { files }: StepOf<'race'>,
  directory: string,
): Promise<(kind: string, name: string) => string> {
  const pathOf = (kind: string, name: string): string => path.join(directory, `${kind}-${name}`);
  const texts = [
    ...Object.entries(files).map(([name, value]) => ['file', name, JSON.stringify(value)] as const),
    ...Object.entries(deployment.operatorKeys).map(
      ([name, key]) => ['keyFile', name, key] as const,
    ),
  ];
  await Promise.all(texts.map(([kind, name, text]) => writeFile(pathOf(kind, name), text)));
  return pathOf;
}

/** Runs the step's commands concurrently and stores their exit codes. */
export async function runRace(context: ScenarioContext, step: StepOf<'race'>): Promise<void> {
  const directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-race-'));
  try {
    const pathOf = await writeFiles(context, step, directory);
    const replacePlaceholders = (argument: string): string =>
      argument.replace(PLACEHOLDER, (_, kind: string, name: string) =>
        kind === 'peer' ? (requireProcess(context, name).peerUrl ?? '') : pathOf(kind, name),
      );
    const processes = step.commands.map((command, index) =>
      startProcess({
        name: `${step.id}-${index + 1}`,
        program: DAEMON,
        args: command.map(replacePlaceholders),
      }),
    );
    context.raceExitCodes.set(
      step.id,
      await Promise.all(processes.map((started) => started.exited())),
    );
  } finally {
    await rm(directory, { recursive: true, force: true });
  }
}
