import { spawn } from 'node:child_process';
import { readFileSync, statSync } from 'node:fs';
import { programOf } from '@camphorbarrow/platform/testing';
import type { StartSignal } from './StartCase.js';

export interface StartCommand {
  /** Path of the Node.js program. */
  readonly nodePath: string;
  /** Its arguments; the last one is the launcher. */
  readonly nodeArguments: readonly string[];
}

/** How a process ended. */
export interface ProcessEnd {
  /** Exit code, or the name of the signal. */
  readonly by: number | string;
  /** Whether a signal came before the process had read the program; Node.js itself ends by it. */
  readonly isBeforeProgram: boolean;
}

export interface StartedProcess {
  signal(signal: StartSignal | 'SIGKILL'): void;
  /** Undefined while the process runs. */
  end(): ProcessEnd | undefined;
  output(): string;
}

/** Bytes that a process has read from files; 0 if it has ended. */
function bytesRead(pid: number): number {
  try {
    return Number(/^rchar: (\d+)/m.exec(readFileSync(`/proc/${pid}/io`, 'utf8'))?.[1] ?? 0);
  } catch {
    return 0;
  }
}

/** Starts the built program of an entry host. */
export function spawnStart(
  { nodePath, nodeArguments }: StartCommand,
  settingsPath: string,
): StartedProcess {
  const programBytes = statSync(programOf(nodeArguments.at(-1) ?? '')).size;
  const child = spawn(nodePath, nodeArguments, {
    env: { ...process.env, CAMPHORBARROW_NODE_FILE: settingsPath },
  });
  let output = '';
  let end: ProcessEnd | undefined;
  /** Signals that came before the program. */
  const earlySignals = new Set<string>();
  [child.stdout, child.stderr].forEach((stream) =>
    stream.setEncoding('utf8').on('data', (text: string) => {
      output += text;
    }),
  );
  child.once('exit', (code, signal) => {
    end = { by: signal ?? code ?? '', isBeforeProgram: earlySignals.has(signal ?? '') };
  });
  return {
    signal(signal) {
      if (bytesRead(child.pid ?? 0) < programBytes) {
        earlySignals.add(signal);
      }
      child.kill(signal);
    },
    end: () => end,
    output: () => output,
  };
}
