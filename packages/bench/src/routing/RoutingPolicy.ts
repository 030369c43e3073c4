/** Route chooser, spill policy and admission under test, each by its name. */
export interface RoutingPolicy {
  readonly name: string;
  readonly route: string;
  readonly spill: string;
  /** Key in `admissionChoices`. */
  readonly admission: string;
}
