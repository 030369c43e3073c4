/** Result of one run of a scenario. */
export interface ScenarioReport {
  readonly file: string;
  readonly seed: number;
  readonly passed: boolean;
  /** Expectations that do not hold, steps that failed and violations of rules in the history. */
  readonly failures: readonly string[];
  readonly durationMs: number;
  /** File with the history of a failed run. */
  readonly historyFile?: string;
}
