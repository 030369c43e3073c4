/** A combination of decisions under test, each named as in its table of choices. */
export interface BenchPolicy {
  readonly name: string;
  readonly route: string;
  readonly spill: string;
  readonly admission: string;
  readonly retry: string;
}
