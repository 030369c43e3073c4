import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import type { ServerRecord } from './ServerRecord.js';

export interface RecordLog {
  add(record: ServerRecord): void;
  all(): readonly ServerRecord[];
}

/**
 * Log of a backend server stand-in. With a file, each record is written before `add` returns, so
 * that the records of a killed process are not lost.
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
