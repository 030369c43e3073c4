/** Injected faults of a stand-in, set over its control route. */
export interface Faults {
  /** Delay before each request is handled. */
  delayMs: number;
  /** Requests take effect, but no response is ever sent. */
  loseAnswers: boolean;
  /** Number of further responses that are lost; decremented with each one. */
  loseNextAnswers: number;
  /** Path prefix of the routes whose responses are lost. */
  loseAnswersTo: string;
  /** Every request gets status 503 and has no effect. */
  unavailable: boolean;
  /** Connections that are open when this is set never send anything again; new ones work. */
  silenceOpenConnections: boolean;
}
