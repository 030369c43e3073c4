import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { buildSettings, loopbackAddress, startFakeStore } from '@camphorbarrow/platform/testing';
import type { FakeStore } from '@camphorbarrow/platform/testing';
import { sleep } from '../sleep.js';
import { spawnStart } from '../starts/spawnStart.js';
import type { StartCommand, StartedProcess } from '../starts/spawnStart.js';
import type { KillScope, StoreLinkShape } from './ConfigurationStep.js';
import { createSlowLink } from './createSlowLink.js';

const REGIONS = ['north', 'north', 'north', 'south', 'south', 'south'] as const;
const GRACE_S = 4;
const POLL_MS = 20;

/** Host of the fleet, which is started again after it was killed. */
export interface ConfiguredHost {
  readonly address: string;
  readonly region: string;
  process: StartedProcess;
}

/** Hosts as processes of their own, each with a link to the store. */
export interface ConfiguredFleet {
  readonly store: FakeStore;
  readonly hosts: readonly ConfiguredHost[];
  shapeLinks(shape: StoreLinkShape): void;
  /** Kills the hosts and starts them again. */
  restart(scope: KillScope, afterMs: number): Promise<void>;
  /** Processes that were not killed and have ended. */
  endedByThemselves(): readonly string[];
  output(): string;
  close(): Promise<void>;
}

function isInScope(scope: KillScope, { region }: ConfiguredHost, index: number): boolean {
  if (scope === 'all-but-one') {
    return index > 0;
  }
  return scope === 'all' || scope === region;
}

/** Starts six hosts in two regions. */
export async function startConfiguredFleet(
  commandOf: (index: number) => StartCommand,
  firstEntry: string,
): Promise<ConfiguredFleet> {
  const directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-configurations-'));
  const store = await startFakeStore();
  store.put('op/config', firstEntry);
  const links = await Promise.all(REGIONS.map(() => createSlowLink(store.address)));
  const addresses = REGIONS.map((_, index) => loopbackAddress(index));
  const settingsPaths = REGIONS.map((_, index) => path.join(directory, `settings-${index}.yaml`));
  const processes: StartedProcess[] = [];
  const killed = new Set<StartedProcess>();

  function start(index: number): StartedProcess {
    const started = spawnStart(commandOf(index), settingsPaths[index] ?? '');
    processes.push(started);
    return started;
  }

  async function kill(victims: readonly StartedProcess[]): Promise<void> {
    victims.forEach((victim) => {
      killed.add(victim);
      victim.signal('SIGKILL');
    });
    while (victims.some((victim) => victim.end() === undefined)) {
      await sleep(POLL_MS);
    }
  }

  await Promise.all(
    REGIONS.map((region, index) =>
      writeFile(
        settingsPaths[index] ?? '',
        buildSettings({
          ip: addresses[index] ?? '',
          store: links[index]?.address ?? '',
          name: `front-${index + 1}`,
          region,
          graceS: GRACE_S,
          seeds: [0, 3].map((seed) => `${addresses[seed] ?? ''}:8146`),
        }),
      ),
    ),
  );
  const hosts: ConfiguredHost[] = REGIONS.map((region, index) => ({
    address: addresses[index] ?? '',
    region,
    process: start(index),
  }));
  return {
    store,
    hosts,
    shapeLinks: (shape) => links.forEach((link) => link.setShape(shape)),
    async restart(scope, afterMs) {
      const victims = [...hosts.entries()].filter(([index, host]) => isInScope(scope, host, index));
      await kill(victims.map(([, host]) => host.process));
      await sleep(afterMs);
      victims.forEach(([index, host]) => {
        host.process = start(index);
      });
    },
    endedByThemselves: () =>
      processes
        .filter((each) => !killed.has(each) && each.end() !== undefined)
        .map((each) => `a process ended by itself with ${String(each.end()?.by)}`),
    output: () => processes.map((each) => each.output()).join('\n'),
    async close() {
      await kill(processes.filter((each) => each.end() === undefined));
      links.forEach((link) => link.close());
      store.close();
      await rm(directory, { recursive: true, force: true });
    },
  };
}
