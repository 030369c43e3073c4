/** A combination of decisions under test, each given by its key in the table of choices. */
export interface BenchPolicy {
  readonly name: string;
  readonly route: string;
  readonly spill: string;
  readonly admission: string;
  readonly retry: string;
}
