/** A process that sends or receives through the relay. */
export interface RelayEndpoint {
  readonly name: string;
  readonly region: string;
}

export interface RelaySource extends RelayEndpoint {
  /** IP address from which the process opens connections, by which the relay identifies it. */
  readonly address: string;
}

interface SocketAddress {
  readonly address: string;
  readonly port: number;
}

/** An announced address, on which the relay listens, and the bound address of the process. */
export interface RelayRoute extends RelayEndpoint {
  readonly announced: SocketAddress;
  readonly bound: SocketAddress;
}

/** Sources and routes of the relay. */
export interface RelayOptions {
  readonly sources: readonly RelaySource[];
  readonly routes: readonly RelayRoute[];
  /** One-way delay between different regions. @default 0 */
  readonly regionDelayMs?: number;
}
