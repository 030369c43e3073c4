/** Route chooser and spill policy under test, each by its name in `routingChoices`. */
export interface RoutingPolicy {
  readonly name: string;
  readonly route: string;
  readonly spill: string;
}
