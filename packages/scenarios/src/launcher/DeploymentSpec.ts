export interface RegionSpec {
  readonly name: string;
  readonly entryHosts: number;
  readonly engines: number;
  readonly orderingServers: number;
}

/** Specification of a deployment that the launcher starts on loopback addresses. */
export interface DeploymentSpec {
  readonly name: string;
  readonly regions: readonly RegionSpec[];
  readonly models: readonly string[];
  /** Options of every engine stand-in, except its id and models. */
  readonly engineOptions?: Readonly<Record<string, unknown>> | undefined;
  /** Options of every ordering server stand-in, except its id. */
  readonly orderingOptions?: Readonly<Record<string, unknown>> | undefined;
  readonly hostListLagMs?: number | undefined;
  /** `drain` settings of every entry host that differ from the defaults. */
  readonly drain?: Readonly<Record<string, number>> | undefined;
  /** Sections of the fleet defaults that differ from the schema's own defaults. */
  readonly defaults?: Readonly<Record<string, unknown>> | undefined;
  /** When present, the traffic between all processes goes through the relay. */
  readonly network?: { readonly regionDelayMs?: number | undefined } | undefined;
}
