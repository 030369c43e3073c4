/** Weight of a new sample in the smoothed duration of calls. */
const SAMPLE_WEIGHT = 0.15;
/** Reading speed that is assumed of an engine before any answer: 45 prompt tokens in a ms. */
const DEFAULT_MS_PER_TOKEN = 0.022;
/** Duration that is assumed of a call to a plain service before any answer. */
const DEFAULT_CALL_MS = 50;
/** Time from an empty engine's acceptance of a request to its first event. */
const FIRST_EVENT_BASE_MS = 25;
/** Samples of fewer tokens say more of the network than of the engine. */
const MIN_SAMPLE_TOKENS = 1_500;
/**
 * Steps by which a reading speed follows its samples. The two make it rest at their lower third:
 * longer samples are mostly waits for requests of other hosts that this one did not know of.
 */
const STEP_UP = 1.04;
const STEP_DOWN = 0.93;

export interface SpeedTracker {
  /** A first event came after `elapsedMs`, with this many prompt tokens to read before it. */
  recordFirstEvent(incarnation: string, tokensAhead: number, elapsedMs: number): void;
  /** A call to a plain service ended. */
  recordCall(incarnation: string, elapsedMs: number): void;
  prefillMsPerToken(incarnation: string): number;
  callMs(incarnation: string): number;
  readonly firstEventBaseMs: number;
  retain(incarnations: ReadonlySet<string>): void;
}

const blend = (current: number, sample: number): number =>
  current + SAMPLE_WEIGHT * (sample - current);

/** Creates the learned speeds of servers, one figure for each lifetime of a server. */
export function createSpeedTracker(): SpeedTracker {
  const msPerToken = new Map<string, number>();
  const callMs = new Map<string, number>();

  return {
    recordFirstEvent(incarnation, tokensAhead, elapsedMs) {
      if (tokensAhead >= MIN_SAMPLE_TOKENS) {
        const sample = (elapsedMs - FIRST_EVENT_BASE_MS) / tokensAhead;
        const current = msPerToken.get(incarnation) ?? DEFAULT_MS_PER_TOKEN;
        msPerToken.set(incarnation, current * (sample > current ? STEP_UP : STEP_DOWN));
      }
    },
    recordCall(incarnation, elapsedMs) {
      const current = callMs.get(incarnation) ?? DEFAULT_CALL_MS;
      callMs.set(incarnation, blend(current, elapsedMs));
    },
    prefillMsPerToken: (incarnation) => msPerToken.get(incarnation) ?? DEFAULT_MS_PER_TOKEN,
    callMs: (incarnation) => callMs.get(incarnation) ?? DEFAULT_CALL_MS,
    firstEventBaseMs: FIRST_EVENT_BASE_MS,
    retain(incarnations) {
      [msPerToken, callMs].forEach((figures) => {
        [...figures.keys()]
          .filter((incarnation) => !incarnations.has(incarnation))
          .forEach((incarnation) => figures.delete(incarnation));
      });
    },
  };
}
