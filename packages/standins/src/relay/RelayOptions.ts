/** A process as the relay knows it: by its name, its region and its source address. */
export interface RelayEndpoint {
  readonly name: string;
  readonly region: string;
}

export interface RelaySource extends RelayEndpoint {
  /** IP address from which the process opens connections. */
  readonly address: string;
}

interface SocketAddress {
  readonly address: string;
  readonly port: number;
}

/** One announced address and the bound one behind it. */
export interface RelayRoute extends RelayEndpoint {
  readonly announced: SocketAddress;
  readonly bound: SocketAddress;
}

/** What the relay stands between. */
export interface RelayOptions {
  readonly sources: readonly RelaySource[];
  readonly routes: readonly RelayRoute[];
  /** Delay one way between different regions. @default 0 */
  readonly regionDelayMs?: number;
}
