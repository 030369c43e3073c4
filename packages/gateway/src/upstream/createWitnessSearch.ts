import type { Clock } from '@camphorbarrow/core';
import { findAny } from './findAny.js';
import { hasFailed } from './ServerLink.js';
import type { ServerLink } from './ServerLink.js';
import { sleepWhileReading } from './sleepWhileReading.js';
import type { ConnectOutcome } from './tryConnect.js';

/** Servers that are probed first, and the most that are probed after them. */
const FIRST_WITNESSES = 2;
const MAX_FURTHER_WITNESSES = 30;
/** Time after which the further ones are probed, too. */
const WITNESS_DELAY_MS = 60;
/** Servers that fail within this time of each other have failed together. */
const FAILED_TOGETHER_MS = 1_000;

export interface WitnessSearchOptions {
  readonly clock: Clock;
  /** Links to the servers that the store lists. */
  readonly links: () => readonly ServerLink[];
  readonly probe: (link: ServerLink) => Promise<ConnectOutcome>;
  /** Monotonic time since which this host reaches no server; undefined while it reaches one. */
  readonly cutOffSinceMs: () => number | undefined;
  readonly signal: AbortSignal;
}

/** Finds out whether a failure is due to the server or to this host. */
export interface WitnessSearch {
  /**
   * Whether this host reaches another server than the one that failed. True also if there is none that
   * could tell: then the failure counts as that of the server.
   *
   * @param sinceMs monotonic time of the failure
   */
  reachesOther(failed: ServerLink, sinceMs: number): Promise<boolean>;
  /** Whether servers that were asked have not responded so far. */
  isInDoubt(): boolean;
}

export function createWitnessSearch(options: WitnessSearchOptions): WitnessSearch {
  const { clock, links, signal } = options;
  let doubts = 0;

  const isReached = async (link: ServerLink): Promise<boolean> =>
    (await options.probe(link)) === 'open';

  async function findWitness(witnesses: readonly ServerLink[]): Promise<boolean> {
    const first = findAny(witnesses.slice(0, FIRST_WITNESSES), isReached);
    const delay = sleepWhileReading(clock, WITNESS_DELAY_MS, signal);
    if ((await Promise.race([first, delay])) === true) {
      return true;
    }
    doubts += 1;
    const further = findAny(
      witnesses.slice(FIRST_WITNESSES, FIRST_WITNESSES + MAX_FURTHER_WITNESSES),
      isReached,
    );
    const isFound = await findAny([first, further], (result) => result);
    doubts -= 1;
    return isFound;
  }

  /** Whether the server failed together with others, or while no other one was reached. */
  function isOneOfMany(failed: ServerLink, sinceMs: number): boolean {
    const cutOffSinceMs = options.cutOffSinceMs();
    return (
      (cutOffSinceMs !== undefined && sinceMs - cutOffSinceMs >= FAILED_TOGETHER_MS) ||
      links().some(
        (link) =>
          link !== failed &&
          !link.failedAlone &&
          (link.failedAtMs ?? -Infinity) >= sinceMs - FAILED_TOGETHER_MS,
      )
    );
  }

  return {
    async reachesOther(failed, sinceMs) {
      const others = links()
        .filter((link) => link !== failed && !hasFailed(link))
        .sort((a, b) => b.respondedAtMs - a.respondedAtMs);
      return (
        others.some(({ connectedAtMs }) => connectedAtMs > sinceMs) ||
        (await findWitness(others)) ||
        !isOneOfMany(failed, sinceMs)
      );
    },
    isInDoubt: () => doubts > 0,
  };
}
