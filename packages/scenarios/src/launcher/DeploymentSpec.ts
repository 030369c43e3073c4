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
  readonly engineOptions?: Readonly<Record<string, unknown>>;
  /** Options of every ordering server stand-in, without its id. */
  readonly orderingOptions?: Readonly<Record<string, unknown>>;
  readonly hostListLagMs?: number;
  /** Changes to the `drain` settings of every entry host. */
  readonly drain?: Readonly<Record<string, number>>;
}
