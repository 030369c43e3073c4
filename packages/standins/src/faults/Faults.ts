/** Faults of a stand-in, set over its control route. */
export interface Faults {
  /** Added before every answer. */
  delayMs: number;
  /** Requests are accepted and take effect, but no answer is ever sent. */
  loseAnswers: boolean;
  /** Path of the requests that `loseAnswers` concerns; empty for all. */
  loseAnswersTo: string;
  /** Every request gets 503. */
  unavailable: boolean;
  /** Connections open at the time go silent for good; new ones work. */
  silenceOpenConnections: boolean;
}
