import path from 'node:path';
import { createCaller } from '../caller/createCaller.js';
import { checkHistory } from '../checker/checkHistory.js';
import { createHistoryRecorder } from '../history/createHistoryRecorder.js';
import type { Step, StepOf } from '../language/Step.js';
import { readScenario } from '../language/readScenario.js';
import { startDeployment } from '../launcher/startDeployment.js';
import type { ScenarioContext } from './ScenarioContext.js';
import type { ScenarioReport } from './ScenarioReport.js';
import { collectServerRecords } from './collectServerRecords.js';
import { createDerivedRandom } from './createDerivedRandom.js';
import { requireProcess } from './requireProcess.js';
import { parseConfigVersion } from './parseConfigVersion.js';
import { runStep } from './runStep.js';

export interface ScenarioOptions {
  /** Seed of every random choice. */
  readonly seed: number;
  /** Directory to which the histories of failed runs are written. @default 'dist/histories' */
  readonly historyDirectory?: string;
  /** Called with a line of text when a step begins and for every failure. */
  readonly onProgress?: (line: string) => void;
}

const MS_PER_SECOND = 1_000;

function describeStep(step: Step): string {
  const { do: verb, ...fields } = step;
  return verb === 'start' ? verb : `${verb} ${JSON.stringify(fields)}`;
}

async function startContext(step: StepOf<'start'>, seed: number): Promise<ScenarioContext> {
  const recorder = createHistoryRecorder();
  const configVersions = new Map<string, number>();
  const deployment = await startDeployment(
    { name: 'scenario', ...step.deployment },
    {
      onLine(host, pid, line) {
        const version = parseConfigVersion(line);
        if (version !== undefined) {
          recorder.add({ kind: 'config', atMs: Date.now(), host, pid, version });
          configVersions.set(`${host} ${pid}`, version);
        }
      },
    },
  );
  const context: ScenarioContext = {
    deployment,
    seed,
    random: createDerivedRandom(seed, 'start'),
    recorder,
    caller: createCaller({ recorder, urlOf: (host) => requireProcess(context, host).url }),
    model: step.deployment.models[0] ?? '',
    callGroups: new Map(),
    raceExitCodes: new Map(),
    configVersions,
  };
  return context;
}

async function runSteps(
  context: ScenarioContext,
  steps: readonly Step[],
  seed: number,
  progress: (line: string) => void,
): Promise<string[]> {
  const failures: string[] = [];
  const startedMs = performance.now();
  for (const [index, step] of steps.entries()) {
    const seconds = ((performance.now() - startedMs) / MS_PER_SECOND).toFixed(1);
    progress(`${seconds.padStart(6)} s  ${describeStep(step)}`);
    context.recorder.add({ kind: 'step', atMs: Date.now(), step: describeStep(step) });
    try {
      const problems = await runStep(
        { ...context, random: createDerivedRandom(seed, `step ${index}`) },
        step,
      );
      failures.push(...problems.map((problem) => `step ${index + 1}: ${problem}`));
    } catch (error) {
      failures.push(`step ${index + 1} (${step.do}) failed: ${String(error)}`);
      break;
    }
  }
  await Promise.all([...context.callGroups.values()].map(({ done }) => done));
  return failures;
}

/**
 * Runs a scenario file against real processes and checks its history.
 *
 * @throws SettingsError when the file is not valid
 */
export async function runScenario(file: string, options: ScenarioOptions): Promise<ScenarioReport> {
  const { steps } = await readScenario(file);
  const startedMs = performance.now();
  const progress = options.onProgress ?? ((): void => undefined);
  const context = await startContext(steps[0] as StepOf<'start'>, options.seed);
  const { recorder, deployment, caller } = context;
  try {
    const failures = await runSteps(context, steps, options.seed, progress);
    (await collectServerRecords(deployment)).forEach(recorder.add);
    const violations = checkHistory(recorder.history());
    failures.push(...violations.map(({ rule, message }) => `history: ${rule}: ${message}`));
    failures.forEach((failure) => progress(`  FAIL  ${failure}`));
    const durationMs = Math.round(performance.now() - startedMs);
    const report = { file, seed: options.seed, failures, durationMs };
    if (failures.length === 0) {
      return { ...report, passed: true };
    }
    const name = `${path.basename(file, '.jsonc')}-${options.seed}.jsonl`;
    const historyFile = path.join(options.historyDirectory ?? 'dist/histories', name);
    await recorder.write(historyFile);
    return { ...report, passed: false, historyFile };
  } finally {
    await caller.close();
    await deployment.close();
  }
}
