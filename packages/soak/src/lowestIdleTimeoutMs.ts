import type { FaultInterval } from './FaultInterval.js';
import type { IdleTimeoutChange } from './IdleTimeoutChange.js';

/** Time until all hosts must have adopted a configuration: the platform's `config_ms`. */
const CONFIGURATION_MS = 4_000;

export interface IdleTimeoutPeriod {
  readonly fromMs: number;
  readonly untilMs: number;
  /** Faults that affect the host, or any host. */
  readonly faultIntervals?: readonly FaultInterval[];
}

/** Time from which a host uses a configuration or a newer one. */
function adoptedAtMs({ atMs }: IdleTimeoutChange, faults: readonly FaultInterval[]): number {
  let sinceMs = atMs;
  [...faults]
    .sort((a, b) => a.startedAtMs - b.startedAtMs)
    .filter(({ kind }) => /^(store-|host-(stop|kill|pause))/.test(kind))
    .forEach(({ kind, startedAtMs, endedAtMs, effectsEndAtMs }) => {
      const endMs = kind === 'host-pause' ? endedAtMs : effectsEndAtMs;
      if (startedAtMs >= sinceMs + CONFIGURATION_MS || endMs <= sinceMs) {
        return;
      }
      // A pause only delays the host; it goes on where it was.
      sinceMs = kind === 'host-pause' ? sinceMs + endMs - Math.max(startedAtMs, sinceMs) : endMs;
    });
  return sinceMs + CONFIGURATION_MS;
}

/** Lowest idle timeout that may be in force at a host at some time of a period. */
export function lowestIdleTimeoutMs(
  changes: readonly IdleTimeoutChange[],
  { fromMs, untilMs, faultIntervals = [] }: IdleTimeoutPeriod,
): number {
  const written = changes.filter(({ atMs }) => atMs <= untilMs);
  const adopted = written.findLastIndex((change) => adoptedAtMs(change, faultIntervals) <= fromMs);
  return Math.min(...written.slice(Math.max(0, adopted)).map((change) => change.idleTimeoutMs));
}
