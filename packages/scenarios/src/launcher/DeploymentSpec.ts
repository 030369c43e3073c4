export interface RegionSpec {
  readonly name: string;
  readonly entryHosts: number;
  readonly engines: number;
  readonly orderingServers: number;
}

/** Shape of a deployment that the launcher starts on loopback addresses. */
export interface DeploymentSpec {
  readonly name: string;
  readonly regions: readonly RegionSpec[];
  readonly models: readonly string[];
  /** Options of every engine stand-in, without id and models. */
  readonly engineOptions?: Readonly<Record<string, unknown>> | undefined;
  /** Options of every ordering server stand-in, without its id. */
  readonly orderingOptions?: Readonly<Record<string, unknown>> | undefined;
  readonly hostListLagMs?: number | undefined;
  /** Changes to the `drain` settings of every entry host. */
  readonly drain?: Readonly<Record<string, number>> | undefined;
  /** Sections of the fleet defaults that differ from the schema's own defaults. */
  readonly defaults?: Readonly<Record<string, unknown>> | undefined;
  /** Puts the relay between all processes. */
  readonly network?: { readonly regionDelayMs?: number | undefined } | undefined;
}
