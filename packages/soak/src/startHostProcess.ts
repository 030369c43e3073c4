import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { buildSettings } from '@camphorbarrow/platform/testing';
import type { SettingsOverrides } from '@camphorbarrow/platform/testing';

/** The platform starts an ended process again after a short delay. */
const RESTART_MS = 300;
const PROGRAM = 'target/entry-host.cjs';

export interface HostProcessOptions {
  readonly settings: SettingsOverrides;
  /** Called when the process ended though nobody asked it to. */
  readonly onUnexpectedExit: (detail: string) => void;
}

/** An entry host as a process of its own, which is started again whenever it ends. */
export interface HostProcess {
  /** Base URL for callers. */
  readonly url: string;
  /** Newest lines of its log, for findings. */
  output(): string;
  signal(signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void;
  /** Changes the settings file and tells the process. */
  reload(settings: Partial<SettingsOverrides>): Promise<void>;
  /** Resolves when the process that runs now has ended. */
  waitForExit(): Promise<void>;
  close(): Promise<void>;
}

/** Writes the settings of a host and starts its process. */
export async function startHostProcess(options: HostProcessOptions): Promise<HostProcess> {
  const directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-soak-'));
  const settingsPath = path.join(directory, 'settings.yaml');
  let { settings } = options;
  const lines: string[] = [];
  let isClosing = false;
  let isAsked = false;
  let child: ChildProcess | undefined;
  let hasEnded: Promise<void> = Promise.resolve();

  function start(): void {
    isAsked = false;
    const started = spawn(process.execPath, [PROGRAM], {
      env: { ...process.env, CAMPHORBARROW_NODE_FILE: settingsPath },
    });
    child = started;
    [started.stdout, started.stderr].forEach((stream) =>
      stream.setEncoding('utf8').on('data', (text: string) => lines.push(text)),
    );
    hasEnded = new Promise((resolve) => {
      started.once('exit', (code, signal) => {
        if (!isAsked || (code !== null && code !== 0)) {
          options.onUnexpectedExit(`${settings.name ?? ''} ended with ${String(code ?? signal)}`);
        }
        if (!isClosing) {
          setTimeout(start, RESTART_MS);
        }
        resolve();
      });
    });
  }

  await writeFile(settingsPath, buildSettings(settings));
  start();
  return {
    url: `http://${settings.ip}:8144`,
    output: () => lines.join(''),
    signal(signal) {
      isAsked ||= signal === 'SIGTERM' || signal === 'SIGKILL';
      child?.kill(signal);
    },
    async reload(changes) {
      settings = { ...settings, ...changes };
      await writeFile(settingsPath, buildSettings(settings));
      child?.kill('SIGHUP');
    },
    waitForExit: () => hasEnded,
    async close() {
      isClosing = true;
      isAsked = true;
      child?.kill('SIGKILL');
      await hasEnded;
      await rm(directory, { recursive: true, force: true });
    },
  };
}
