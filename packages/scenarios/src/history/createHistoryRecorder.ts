import { mkdir, writeFile } from 'node:fs/promises';
import path from 'node:path';
import type { History } from './History.js';
import type { HistoryEvent } from './HistoryEvent.js';

export interface HistoryRecorder {
  add(event: HistoryEvent): void;
  history(): History;
  /** Writes the history as JSON lines. */
  write(file: string): Promise<void>;
}

/** Creates a recorder of the events of one run. */
export function createHistoryRecorder(): HistoryRecorder {
  const events: HistoryEvent[] = [];
  const history = (): History => [...events].sort((a, b) => a.atMs - b.atMs);
  return {
    add: (event) => {
      events.push(event);
    },
    history,
    async write(file) {
      await mkdir(path.dirname(file), { recursive: true });
      const lines = history().map((event) => `${JSON.stringify(event)}\n`);
      await writeFile(file, lines.join(''));
    },
  };
}
