import type { WireHeartbeat } from './WireHeartbeat.js';

type Rows = Pick<WireHeartbeat, 'load' | 'cap' | 'crash'>;

/** Larger figures would leave an error in the totals that they are added to and taken off again. */
const MAX_FIGURE = Number.MAX_SAFE_INTEGER;

const areFigures = (values: readonly unknown[]): boolean =>
  values.every((value) => typeof value === 'number' && Math.abs(value) <= MAX_FIGURE);

const areStrings = (values: unknown): boolean =>
  Array.isArray(values) && values.every((value) => typeof value === 'string');

function isLoad(row: unknown): boolean {
  if (!Array.isArray(row)) {
    return false;
  }
  const [server, running, pendingTokens, pace = 0] = row as readonly unknown[];
  return (
    typeof server === 'string' &&
    areFigures([running, pace]) &&
    Array.isArray(pendingTokens) &&
    pendingTokens.every((pair) => Array.isArray(pair) && pair.length === 2 && areFigures(pair))
  );
}

const isCapacity = (row: unknown): boolean =>
  Array.isArray(row) &&
  row.length === 7 &&
  typeof row[0] === 'string' &&
  areFigures(row.slice(1) as unknown[]);

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
export function usableRows({ load, cap, crash }: Rows): Rows {
  return { load: load.filter(isLoad), cap: cap.filter(isCapacity), crash: crash.filter(isCrash) };
}
