import type { WireHeartbeat } from './WireHeartbeat.js';

type Rows = Pick<WireHeartbeat, 'load' | 'cap' | 'crash'>;

const areFinite = (values: readonly unknown[]): boolean => values.every(Number.isFinite);

const areStrings = (values: unknown): boolean =>
  Array.isArray(values) && values.every((value) => typeof value === 'string');

function isLoad(row: unknown): boolean {
  if (!Array.isArray(row)) {
    return false;
  }
  const [server, running, pendingTokens, pace = 0] = row as readonly unknown[];
  return (
    typeof server === 'string' &&
    areFinite([running, pace]) &&
    Array.isArray(pendingTokens) &&
    pendingTokens.every((pair) => Array.isArray(pair) && pair.length === 2 && areFinite(pair))
  );
}

const isCapacity = (row: unknown): boolean =>
  Array.isArray(row) &&
  row.length === 7 &&
  typeof row[0] === 'string' &&
  areFinite(row.slice(1) as unknown[]);

function isCrash(row: unknown): boolean {
  const crash = (row ?? {}) as Record<string, unknown>;
  const { serverId, incarnation, running, suspects, parts = [], trialParts = [] } = crash;
  return (
    areStrings([serverId, incarnation]) && [running, suspects, parts, trialParts].every(areStrings)
  );
}

/**
 * Selects the well-formed rows of a heartbeat. One malformed row must not hide the others, or the
 * host that sent it.
 */
export function usableRows({ load, cap, crash }: Rows): Rows {
  return { load: load.filter(isLoad), cap: cap.filter(isCapacity), crash: crash.filter(isCrash) };
}
