import { mkdtemp, rename, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { buildConfiguration, buildSettings, startFakeStore } from '@camphorbarrow/platform/testing';
import { sleep } from '../sleep.js';
import { holdPort } from './holdPort.js';
import { isHostReady } from './isHostReady.js';
import { spawnStart } from './spawnStart.js';
import type { StartCommand, StartedProcess } from './spawnStart.js';
import type { StartCase } from './StartCase.js';

const READINESS_PORT = 8140;
const GRACE_S = 4;
/** Time limit for the end of a process that was told to stop. */
const STOP_LIMIT_MS = 8_000;
/** Time limit for being ready once everything that a host needs is there. */
const READY_LIMIT_MS = 15_000;
const POLL_MS = 20;

export interface StartResult {
  /** What went wrong; undefined if nothing did. */
  readonly problem: string | undefined;
  /** Number of processes that were started. */
  readonly processes: number;
  /** Ends by signals that came before Node.js had read the program. */
  readonly endsBeforeProgram: number;
  readonly output: string;
}

/** Starts a host on the address as the case says, and checks that it becomes ready and stops in order. */
export async function checkStart(
  startCase: StartCase,
  command: StartCommand,
  address: string,
): Promise<StartResult> {
  const directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-start-'));
  const settingsPath = path.join(directory, 'settings.yaml');
  const store = await startFakeStore();
  store.put('op/config', buildConfiguration(1));
  const complete = buildSettings({ ip: address, store: store.address, graceS: GRACE_S });
  const processes: StartedProcess[] = [];
  let endsBeforeProgram = 0;

  async function writeFirstSettings(): Promise<void> {
    const texts = {
      complete,
      cut: complete.slice(0, complete.length * startCase.cutRatio),
      malformed: complete.replace('heartbeat_ms', 'heartbeat'),
    };
    if (startCase.settings !== 'missing') {
      await writeFile(settingsPath, texts[startCase.settings]);
    }
  }

  async function completeSettings(): Promise<void> {
    if (startCase.settings === 'cut') {
      await writeFile(settingsPath, complete);
    } else {
      await writeFile(`${settingsPath}.new`, complete);
      await rename(`${settingsPath}.new`, settingsPath);
    }
  }

  function start(): StartedProcess {
    const started = spawnStart(command, settingsPath);
    processes.push(started);
    return started;
  }

  /** Returns what is wrong with a process that was told to stop. */
  async function checkStop(stopping: StartedProcess): Promise<string | undefined> {
    const endMs = performance.now() + STOP_LIMIT_MS;
    while (stopping.end() === undefined && performance.now() < endMs) {
      await sleep(POLL_MS);
    }
    const end = stopping.end();
    if (end?.isBeforeProgram === true) {
      endsBeforeProgram += 1;
      return undefined;
    }
    return end?.by === 0 ? undefined : `told to stop, ended with ${end?.by ?? 'nothing'}`;
  }

  /** Returns the process once it is ready, or what is wrong with it. */
  async function waitForReady(starting: StartedProcess): Promise<StartedProcess | string> {
    const endMs = performance.now() + READY_LIMIT_MS;
    while (performance.now() < endMs) {
      const end = starting.end();
      if (end?.isBeforeProgram === true) {
        endsBeforeProgram += 1;
        return waitForReady(start());
      }
      if (end !== undefined) {
        return `ended by itself with ${end.by}`;
      }
      if (await isHostReady(address, READINESS_PORT)) {
        return starting;
      }
      await sleep(POLL_MS);
    }
    return 'not ready in time';
  }

  /** Sends the early signals. Returns the process that should become ready, or what is wrong. */
  async function sendSignals(first: StartedProcess): Promise<StartedProcess | string> {
    const startMs = performance.now();
    let isStopped = false;
    for (const { signal, atMs } of startCase.signals) {
      await sleep(Math.max(0, startMs + atMs - performance.now()));
      if (first.end() === undefined) {
        first.signal(signal);
        isStopped ||= signal !== 'SIGHUP';
      }
    }
    return isStopped ? ((await checkStop(first)) ?? start()) : first;
  }

  async function check(): Promise<string | undefined> {
    const { heldPort, restart } = startCase;
    const release =
      heldPort === undefined
        ? () => undefined
        : await holdPort(heldPort.protocol, heldPort.port, address);
    await writeFirstSettings();
    const first = start();
    const needs = Promise.all([
      sleep(startCase.settings === 'complete' ? 0 : startCase.settingsAtMs).then(completeSettings),
      sleep(heldPort?.untilMs ?? 0).then(release),
    ]);
    const signalled = await sendSignals(first);
    await needs;
    const ready = typeof signalled === 'string' ? signalled : await waitForReady(signalled);
    if (typeof ready === 'string' || restart === 'none') {
      return typeof ready === 'string' ? ready : undefined;
    }
    ready.signal('SIGTERM');
    const next = restart === 'at-once' ? start() : undefined;
    const problem = await checkStop(ready);
    const again = await waitForReady(next ?? start());
    return problem ?? (typeof again === 'string' ? again : undefined);
  }

  try {
    const problem = await check();
    return {
      problem,
      processes: processes.length,
      endsBeforeProgram,
      output: processes.map((started) => started.output()).join('\n'),
    };
  } finally {
    processes
      .filter((started) => started.end() === undefined)
      .forEach((started) => started.signal('SIGKILL'));
    while (processes.some((started) => started.end() === undefined)) {
      await sleep(POLL_MS);
    }
    store.close();
    await rm(directory, { recursive: true, force: true });
  }
}
