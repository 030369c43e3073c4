/** Route chooser, spill policy and admission under test, each by its name. */
export interface RoutingPolicy {
  readonly name: string;
  readonly route: string;
  readonly spill: string;
  /** `all` or `ranks`, as in `admissionChoices`. */
  readonly admission: string;
}
