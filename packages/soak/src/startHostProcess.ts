import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { buildSettings } from '@camphorbarrow/platform/testing';
import type { SettingsOverrides } from '@camphorbarrow/platform/testing';

/** Delay before an exited process is restarted, as on the platform. */
const RESTART_DELAY_MS = 300;
const PRELOAD = './packages/soak/preload/connectAsHost.cjs';

export interface HostProcessOptions {
  readonly settings: SettingsOverrides;
  /** Path of the Node.js program that runs the host. */
  readonly nodePath: string;
  /** Built program of the host. */
  readonly program: string;
  /** Port to which connections are not established. */
  readonly blackHolePort: number;
  /** Called when the process exits without a stop signal or with an error code. */
  readonly onUnexpectedExit: (detail: string) => void;
}

/** An entry host in its own process, which is restarted whenever it exits. */
export interface HostProcess {
  /** Base URL for callers. */
  readonly url: string;
  /** Everything that the process has written to stdout and stderr, including earlier starts. */
  output(): string;
  signal(signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void;
  /** Changes the settings file and makes the process reload it. */
  reload(settings: Partial<SettingsOverrides>): Promise<void>;
  /** Fails new connections to servers; undefined ends this. */
  setConnectFault(fault: 'refuse' | 'hang' | undefined): Promise<void>;
  /** Returns the program of this or the next start. */
  program(): string;
  /** Returns the program of the current process, which may be ending. */
  runningProgram(): string;
  /** Sets the program of the next start. */
  setProgram(program: string): void;
  /** Resolves when the current process has exited. */
  waitForExit(): Promise<void>;
  close(): Promise<void>;
}

/** Writes the settings of a host and starts its process. */
export async function startHostProcess(options: HostProcessOptions): Promise<HostProcess> {
  const directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-soak-'));
  const settingsPath = path.join(directory, 'settings.yaml');
  const faultPath = path.join(directory, 'connect-fault');
  let { settings, program } = options;
  let runningProgram = program;
  const outputChunks: string[] = [];
  let isClosing = false;
  let isExitExpected = false;
  let child: ChildProcess | undefined;
  let exited: Promise<void> = Promise.resolve();

  function start(): void {
    isExitExpected = false;
    runningProgram = program;
    const started = spawn(options.nodePath, ['--require', PRELOAD, program], {
      env: {
        ...process.env,
        CAMPHORBARROW_NODE_FILE: settingsPath,
        SOAK_SOURCE_ADDRESS: settings.ip,
        SOAK_STORE_PORT: settings.store.split(':')[1],
        SOAK_BLACK_HOLE_PORT: String(options.blackHolePort),
        SOAK_FAULT_PATH: faultPath,
      },
    });
    child = started;
    const earlierChunks = outputChunks.length;
    [started.stdout, started.stderr].forEach((stream) =>
      stream.setEncoding('utf8').on('data', (text: string) => outputChunks.push(text)),
    );
    exited = new Promise((resolve) => {
      started.once('exit', (code, signal) => {
        if (!isExitExpected || (code !== null && code !== 0)) {
          // A signal may arrive before the program runs and handles it.
          const phase = outputChunks.length === earlierChunks ? ' before its first line' : '';
          options.onUnexpectedExit(
            `${settings.name ?? ''} exited with ${String(code ?? signal)}${phase}`,
          );
        }
        if (!isClosing) {
          setTimeout(start, RESTART_DELAY_MS);
        }
        resolve();
      });
    });
  }

  await writeFile(settingsPath, buildSettings(settings));
  start();
  return {
    url: `http://${settings.ip}:8144`,
    output: () => outputChunks.join(''),
    signal(signal) {
      isExitExpected ||= signal === 'SIGTERM' || signal === 'SIGKILL';
      child?.kill(signal);
    },
    async reload(changes) {
      settings = { ...settings, ...changes };
      await writeFile(settingsPath, buildSettings(settings));
      child?.kill('SIGHUP');
    },
    setConnectFault: (fault) =>
      fault === undefined ? rm(faultPath, { force: true }) : writeFile(faultPath, fault),
    program: () => program,
    runningProgram: () => runningProgram,
    setProgram(nextProgram) {
      program = nextProgram;
    },
    waitForExit: () => exited,
    async close() {
      isClosing = true;
      isExitExpected = true;
      child?.kill('SIGKILL');
      await exited;
      await rm(directory, { recursive: true, force: true });
    },
  };
}
