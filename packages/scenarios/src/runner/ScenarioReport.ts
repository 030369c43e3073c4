/** Result of one run of a scenario. */
export interface ScenarioReport {
  readonly file: string;
  readonly seed: number;
  readonly passed: boolean;
  /** Expectations that do not hold, steps that could not be done, and rules the history breaks. */
  readonly failures: readonly string[];
  readonly durationMs: number;
  /** History of a failed run. */
  readonly historyFile?: string;
}
