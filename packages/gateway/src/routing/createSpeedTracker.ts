/** Weight of a new sample in the moving average of call durations. */
const SAMPLE_WEIGHT = 0.15;
/** Prefill time per token assumed before the first sample: 45 prompt tokens per ms. */
const DEFAULT_PREFILL_MS_PER_TOKEN = 0.022;
/** Call duration assumed for a service that is not a model before the first sample. */
const DEFAULT_CALL_MS = 50;
/** Time from accepting a request to its first event on an idle engine, without the prefill. */
const FIRST_EVENT_BASE_MS = 25;
/** Samples with fewer tokens are ignored because network latency dominates them. */
const MIN_SAMPLE_TOKENS = 1_500;
/**
 * Factors that adjust the prefill time per token to a longer or shorter sample. With these values
 * it settles at the lower third of the samples: longer samples mostly include waits for requests of
 * other hosts that this host did not know of.
 */
const STEP_UP = 1.04;
const STEP_DOWN = 0.93;

/** Tracks the speed of servers per incarnation. */
export interface SpeedTracker {
  /** Records that the first event came after `elapsedMs`, with `tokensAhead` tokens to prefill. */
  recordFirstEvent(incarnation: string, tokensAhead: number, elapsedMs: number): void;
  /** Records the duration of a call to a service that is not a model. */
  recordCall(incarnation: string, elapsedMs: number): void;
  prefillMsPerToken(incarnation: string): number;
  callMs(incarnation: string): number;
  readonly firstEventBaseMs: number;
  /** Drops the figures of all other incarnations. */
  retain(incarnations: ReadonlySet<string>): void;
}

const movingAverage = (current: number, sample: number): number =>
  current + SAMPLE_WEIGHT * (sample - current);

/** Creates a tracker that assumes default speeds until it has samples. */
export function createSpeedTracker(): SpeedTracker {
  const msPerToken = new Map<string, number>();
  const callMs = new Map<string, number>();

  return {
    recordFirstEvent(incarnation, tokensAhead, elapsedMs) {
      if (tokensAhead >= MIN_SAMPLE_TOKENS) {
        const sample = (elapsedMs - FIRST_EVENT_BASE_MS) / tokensAhead;
        const current = msPerToken.get(incarnation) ?? DEFAULT_PREFILL_MS_PER_TOKEN;
        msPerToken.set(incarnation, current * (sample > current ? STEP_UP : STEP_DOWN));
      }
    },
    recordCall(incarnation, elapsedMs) {
      const current = callMs.get(incarnation) ?? DEFAULT_CALL_MS;
      callMs.set(incarnation, movingAverage(current, elapsedMs));
    },
    prefillMsPerToken: (incarnation) => msPerToken.get(incarnation) ?? DEFAULT_PREFILL_MS_PER_TOKEN,
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
