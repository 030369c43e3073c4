import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import type { ExpectationOf } from '../../language/Step.js';
import { waitUntil } from '../../launcher/waitUntil.js';
import type { ScenarioContext } from '../ScenarioContext.js';
import { requireProcess } from '../requireProcess.js';

/** Checks that a process exits in time with the given code. */
export async function expectExit(
  context: ScenarioContext,
  step: ExpectationOf<'exit'>,
): Promise<string[]> {
  const code = await Promise.race([
    requireProcess(context, step.target).process.exited(),
    delay(step.withinMs).then(() => 'running' as const),
  ]);
  return code === step.code
    ? []
    : [
        `${step.target}: ${code === 'running' ? code : `exit code ${code}`}, expected exit code ${step.code}`,
      ];
}

/** Checks that a process has not exited. */
export async function expectRunning(
  context: ScenarioContext,
  step: ExpectationOf<'running'>,
): Promise<string[]> {
  const exited = await Promise.race([
    requireProcess(context, step.target)
      .process.exited()
      .then(() => true),
    delay(0).then(() => false),
  ]);
  return exited ? [`${step.target} has exited`] : [];
}

/** Checks that entry hosts adopt a configuration version in time. */
export async function expectConfigVersion(
  context: ScenarioContext,
  step: ExpectationOf<'configVersion'>,
): Promise<string[]> {
  const all = [...context.deployment.processes.values()].filter(({ kind }) => kind === 'entryHost');
  const hosts = step.hosts ?? all.map(({ name }) => name);
  const versionOf = (host: string): number =>
    context.configVersions.get(`${host} ${requireProcess(context, host).process.pid}`) ?? 0;
  const behind = (): string[] => hosts.filter((host) => versionOf(host) < step.atLeast);
  await waitUntil('', step.withinMs, () => behind().length === 0).catch(() => undefined);
  return behind().map(
    (host) => `${host} has configuration version ${versionOf(host)}, expected ${step.atLeast}`,
  );
}

/** Checks which entry hosts a host lists for callers. */
export async function expectEntryHosts(
  context: ScenarioContext,
  step: ExpectationOf<'entryHosts'>,
): Promise<string[]> {
  const url = (name: string): string => requireProcess(context, name).url;
  let listed: readonly string[] = [];
  async function holds(): Promise<boolean> {
    const { body } = await request(`${requireProcess(context, step.via).directUrl}/v1/entry-hosts`);
    listed = ((await body.json()) as { entryHostUrls: string[] }).entryHostUrls;
    return (
      step.lists.every((name) => listed.includes(url(name))) &&
      !step.excludes.some((name) => listed.includes(url(name)))
    );
  }
  try {
    await waitUntil('', step.withinMs, holds);
    return [];
  } catch {
    const names = [...context.deployment.processes.values()]
      .filter((deployed) => listed.includes(deployed.url))
      .map(({ name }) => name);
    return [`${step.via} lists ${names.join(', ') || 'no entry host'}`];
  }
}

/** Checks the exit codes of the commands of a `race` step, in any order. */
export function expectRace(context: ScenarioContext, step: ExpectationOf<'race'>): string[] {
  const sorted = (codes: readonly (number | undefined)[]): string =>
    codes
      .map((code) => String(code ?? 'none'))
      .sort()
      .join(', ');
  const actual = sorted(context.raceExitCodes.get(step.race) ?? []);
  const expected = sorted(step.exitCodes);
  return actual === expected ? [] : [`exit codes ${actual}, expected ${expected}`];
}
