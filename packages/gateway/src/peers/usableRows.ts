import type { WireHeartbeat } from './WireHeartbeat.js';

type Rows = Pick<WireHeartbeat, 'load' | 'cap' | 'crash' | 'fails' | 'rej'>;

/** Larger figures would leave an error in the totals that they are added to and taken off again. */
const MAX_FIGURE = Number.MAX_SAFE_INTEGER;

const isFigure = (value: unknown): value is number =>
  typeof value === 'number' && Math.abs(value) <= MAX_FIGURE;

const areFigures = (values: readonly unknown[]): boolean => values.every(isFigure);

const areStrings = (values: unknown): boolean =>
  Array.isArray(values) && values.every((value) => typeof value === 'string');

const isRankCount = (pair: unknown): boolean =>
  Array.isArray(pair) && pair.length === 2 && isFigure(pair[0]) && isFigure(pair[1]);

/** Most of the rows are loads, so this takes them apart without iterators. */
function isLoad(row: unknown): boolean {
  if (!Array.isArray(row)) {
    return false;
  }
  const fields: readonly unknown[] = row;
  const pendingTokens = fields[2];
  return (
    typeof fields[0] === 'string' &&
    isFigure(fields[1]) &&
    Array.isArray(pendingTokens) &&
    pendingTokens.every(isRankCount) &&
    (fields[3] === undefined || isFigure(fields[3]))
  );
}

const isCapacity = (row: unknown): boolean =>
  Array.isArray(row) &&
  row.length === 7 &&
  typeof row[0] === 'string' &&
  areFigures(row.slice(1) as unknown[]);

const isOutcome = (row: unknown): boolean =>
  Array.isArray(row) &&
  row.length === 3 &&
  typeof row[0] === 'string' &&
  isFigure(row[1]) &&
  isFigure(row[2]) &&
  row[2] >= 0 &&
  row[2] <= row[1];

const isRejectionLimit = (row: unknown): boolean =>
  Array.isArray(row) &&
  row.length === 4 &&
  areStrings(row.slice(0, 2)) &&
  (row[2] === null || (isFigure(row[2]) && row[2] >= 0)) &&
  isFigure(row[3]) &&
  row[3] >= 0;

function isCrash(row: unknown): boolean {
  const crash = (row ?? {}) as Record<string, unknown>;
  const { serverId, incarnation, running, suspects, parts = [], trialParts = [] } = crash;
  const { ageMs = 0, runningCount = 0, suspectCount = 0 } = crash;
  return (
    areFigures([ageMs, runningCount, suspectCount]) &&
    areStrings([serverId, incarnation]) &&
    [running, suspects, parts, trialParts].every(areStrings)
  );
}

/**
 * Selects the well-formed rows of a heartbeat. One malformed row must not hide the others, or the
 * host that sent it.
 */
export function usableRows({ load, cap, crash, fails = [], rej = [] }: Rows): Required<Rows> {
  return {
    load: load.filter(isLoad),
    cap: cap.filter(isCapacity),
    crash: crash.filter(isCrash),
    fails: fails.filter(isOutcome),
    rej: rej.filter(isRejectionLimit),
  };
}
