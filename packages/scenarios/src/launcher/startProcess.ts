import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';

export interface ProcessOptions {
  readonly name: string;
  /** Script for Node.js (`.cjs`) or executable. */
  readonly program: string;
  readonly args: readonly string[];
  /** Called for every line of standard output. */
  readonly onLine?: (pid: number, line: string) => void;
}

export interface ManagedProcess {
  readonly name: string;
  readonly pid: number;
  /** Lines of standard output; the oldest are dropped when there are too many. */
  readonly outputLines: readonly string[];
  signal(signal: NodeJS.Signals): void;
  /** Resolves to the exit code, or undefined when a signal ended the process. */
  exited(): Promise<number | undefined>;
  /** Kills the process and waits until it has exited. */
  close(): Promise<void>;
}

const MAX_OUTPUT_LINES = 5_000;

function collectLines(child: ChildProcess, onLine: ProcessOptions['onLine']): string[] {
  const lines: string[] = [];
  let pending = '';
  child.stdout?.setEncoding('utf8').on('data', (text: string) => {
    const parts = (pending + text).split('\n');
    pending = parts.pop() ?? '';
    lines.push(...parts);
    parts.forEach((line) => onLine?.(child.pid ?? 0, line));
    lines.splice(0, Math.max(0, lines.length - MAX_OUTPUT_LINES));
  });
  return lines;
}

/** Starts a program as a child process. */
export function startProcess(options: ProcessOptions): ManagedProcess {
  const isScript = options.program.endsWith('.cjs');
  const command = isScript ? process.execPath : options.program;
  const args = isScript ? [options.program, ...options.args] : options.args;
  const child = spawn(command, args, {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ended = once(child, 'exit').then(([code]) => (code as number | null) ?? undefined);
  const outputLines = collectLines(child, options.onLine);

  function isRunning(): boolean {
    return child.exitCode === null && child.signalCode === null;
  }

  return {
    name: options.name,
    pid: child.pid ?? 0,
    outputLines,
    signal(signal) {
      if (isRunning()) {
        child.kill(signal);
      }
    },
    exited: () => ended,
    async close() {
      if (isRunning()) {
        child.kill('SIGKILL');
        await ended;
      }
    },
  };
}
