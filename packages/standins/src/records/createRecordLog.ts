import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import type { ServerRecord } from './ServerRecord.js';

export interface RecordLog {
  add(record: ServerRecord): void;
  all(): readonly ServerRecord[];
}

/**
 * Creates the log of a backend server stand-in. With a file, the log begins with the file's records,
 * and each further one is written before `add` returns, so that a killed process loses none.
 */
export function createRecordLog(file?: string): RecordLog {
  const records: ServerRecord[] = [];
  if (file !== undefined && existsSync(file)) {
    const lines = readFileSync(file, 'utf8').split('\n');
    records.push(
      ...lines.filter((line) => line !== '').map((line) => JSON.parse(line) as ServerRecord),
    );
  }
  return {
    add(record) {
      records.push(record);
      if (file !== undefined) {
        appendFileSync(file, `${JSON.stringify(record)}\n`);
      }
    },
    all: () => records,
  };
}
