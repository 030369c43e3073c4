import type { ClassSummary } from './ClassSummary.js';
import type { RunSummary } from './RunSummary.js';

const HEADER = [
  'case',
  'seed',
  'policy',
  'urg good/s',
  'urg good%',
  'urg ft p50/95/99 ms',
  'urg gap p50/95/99 ms',
  'pat good/s',
  'pat good%',
  'pat ft p50/95/99 ms',
  'pat gap p95 ms',
  'svc good%',
  'worth',
  'spill%',
  'cache%',
  's/good',
  'retries',
  'errors',
];

const percent = (ratio: number): string => (ratio * 100).toFixed(1);
const round = (value: number | undefined, digits = 0): string =>
  value === undefined ? '-' : value.toFixed(digits);

function percentiles({ p50Ms, p95Ms, p99Ms }: ClassSummary['firstToken'], digits = 0): string {
  return [p50Ms, p95Ms, p99Ms].map((value) => round(value, digits)).join('/');
}

function toRow(run: RunSummary): string[] {
  const { urgent, patient, service } = run.classes;
  return [
    run.caseName,
    String(run.seed),
    run.policy,
    urgent.goodPerSecond.toFixed(2),
    percent(urgent.goodRatio),
    percentiles(urgent.firstToken),
    percentiles(urgent.betweenTokens, 1),
    patient.goodPerSecond.toFixed(2),
    percent(patient.goodRatio),
    percentiles(patient.firstToken),
    round(patient.betweenTokens.p95Ms, 1),
    percent(service.goodRatio),
    round(run.worth),
    percent(run.spilledRatio),
    percent(run.cacheHitRatio),
    round(run.serverSecondsPerGood, 2),
    run.retriesPerRequest.toFixed(3),
    Object.entries(run.refusals)
      .map(([code, count]) => `${code} ${count}`)
      .join(', '),
  ];
}

/** Formats runs as an aligned Markdown table for the terminal. */
export function formatTable(runs: readonly RunSummary[]): string {
  const rows = [HEADER, ...runs.map(toRow)];
  const widths = HEADER.map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  const lines = rows.map(
    (row) => `| ${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(' | ')} |`,
  );
  const separator = `| ${widths.map((width) => '-'.repeat(width)).join(' | ')} |`;
  return [lines[0], separator, ...lines.slice(1)].join('\n');
}
