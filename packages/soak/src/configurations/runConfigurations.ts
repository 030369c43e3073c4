import { createSeededRandom } from '@camphorbarrow/core';
import { callHost } from '@camphorbarrow/platform/testing';
import { sleep } from '../sleep.js';
import { isHostReady } from '../starts/isHostReady.js';
import type { StartCommand } from '../starts/spawnStart.js';
import { buildEntry } from './buildEntry.js';
import type { ConfigurationStep, StoreLinkShape } from './ConfigurationStep.js';
import { planConfigurations } from './planConfigurations.js';
import { startConfiguredFleet } from './startConfiguredFleet.js';
import type { ConfiguredFleet, ConfiguredHost } from './startConfiguredFleet.js';

const READINESS_PORT = 8140;
/** Time limit for being ready; the users' traffic starts 12 s after the hosts. */
const READY_LIMIT_MS = 12_000;
/** Time limit for a configuration to be in force at all hosts that are ready, as on the platform. */
const CONFIGURATION_LIMIT_MS = 4_000;
/** Time that a configuration has to reach the store again, before an entry that cannot be read. */
const CALM_MS = 4_000;
const POLL_MS = 100;
const NOT_FOUND = 404;
const MS_PER_SECOND = 1_000;

export interface ConfigurationsOptions {
  readonly seed: number;
  /** Number of entries that the operator writes. */
  readonly steps: number;
  readonly command: StartCommand;
  /** Program of each second host, such as an earlier build; it is not checked. */
  readonly otherCommand?: StartCommand | undefined;
}

export interface ConfigurationsResult {
  readonly steps: readonly ConfigurationStep[];
  /** What went wrong, with the step. */
  readonly problems: readonly string[];
  readonly output: string;
}

/** Waits until the condition holds for all hosts, and returns those for which it does not in time. */
async function awaitHosts(
  hosts: readonly ConfiguredHost[],
  limitMs: number,
  holds: (host: ConfiguredHost) => Promise<boolean>,
): Promise<readonly ConfiguredHost[]> {
  const endMs = performance.now() + limitMs;
  for (;;) {
    const results = await Promise.all(hosts.map(holds));
    const failing = hosts.filter((_, index) => results[index] === false);
    if (failing.length === 0 || performance.now() > endMs) {
      return failing;
    }
    await sleep(POLL_MS);
  }
}

/** Whether the host has the route; without servers, it answers 503. */
async function hasRoute({ address }: ConfiguredHost, path: string): Promise<boolean> {
  try {
    return (await callHost(`http://${address}:8144`, path)).status !== NOT_FOUND;
  } catch {
    return false;
  }
}

/** Time that the entry takes over the link, for which no host can have it. */
const transferMsOf = (text: string, { bytesPerSecond }: StoreLinkShape): number =>
  (Buffer.from(text).toString('base64').length / bytesPerSecond) * MS_PER_SECOND;

const namesOf = (hosts: readonly ConfiguredHost[]): string =>
  hosts.map(({ address, region }) => `${region} ${address}`).join(', ');

async function checkHosts(
  hosts: readonly ConfiguredHost[],
  path: string,
  transferMs: number,
): Promise<readonly string[]> {
  const unready = await awaitHosts(hosts, READY_LIMIT_MS, ({ address }) =>
    isHostReady(address, READINESS_PORT),
  );
  const outdated = await awaitHosts(
    hosts.filter((host) => !unready.includes(host)),
    CONFIGURATION_LIMIT_MS + transferMs,
    (host) => hasRoute(host, path),
  );
  return [
    ...(unready.length === 0 ? [] : [`not ready: ${namesOf(unready)}`]),
    ...(outdated.length === 0 ? [] : [`no route ${path}: ${namesOf(outdated)}`]),
  ];
}

/**
 * Writes odd configurations, kills hosts right after a write, and starts them again over slow links to
 * the store. All hosts have to be ready in time, with the newest configuration that can be read.
 */
export async function runConfigurations(
  options: ConfigurationsOptions,
): Promise<ConfigurationsResult> {
  const steps = planConfigurations(createSeededRandom(options.seed), options.steps);
  const first = buildEntry('next', 0);
  const isChecked = (index: number): boolean =>
    options.otherCommand === undefined || index % 2 === 0;
  const commandOf = (index: number): StartCommand =>
    isChecked(index) ? options.command : (options.otherCommand ?? options.command);
  const fleet: ConfiguredFleet = await startConfiguredFleet(commandOf, first.text);
  const checked = fleet.hosts.filter((_, index) => isChecked(index));
  const problems: string[] = [];
  let path = first.path ?? '';
  const check = async (step: string, transferMs: number): Promise<void> => {
    const found = [...(await checkHosts(checked, path, transferMs)), ...fleet.endedByThemselves()];
    problems.push(...found.map((problem) => `${step}: ${problem}`));
  };

  try {
    await check('start', 0);
    for (const [index, step] of steps.entries()) {
      await sleep(CALM_MS);
      const entry = buildEntry(step.entry, index + 1);
      path = entry.path ?? path;
      fleet.shapeLinks(step.link);
      fleet.store.put('op/config', entry.text);
      await sleep(step.killAfterMs);
      await fleet.restart(step.kill, step.restartAfterMs);
      await check(
        `step ${index + 1} (${JSON.stringify(step)})`,
        transferMsOf(entry.text, step.link),
      );
      fleet.shapeLinks({ bytesPerSecond: Infinity, delayMs: 0 });
    }
    return { steps, problems, output: fleet.output() };
  } finally {
    await fleet.close();
  }
}
