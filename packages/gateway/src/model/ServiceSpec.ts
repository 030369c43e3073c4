import type { ServiceName } from './ServiceName.js';

/** Configuration of a service that backend servers provide. */
export interface ServiceSpec {
  readonly name: ServiceName;
  /** Maximum number of connections to one server, summed over all entry hosts. */
  readonly maxConnections: number;
  /** Maximum request rate of a cold server, summed over all entry hosts; 0 means no limit. */
  readonly coldRequestsPerSecond: number;
  /** Time for which a server is cold after its start. */
  readonly coldStartMs: number;
  /** Size of the KV cache of one model engine; undefined for a service that is not a model. */
  readonly kvCapacityTokens: number | undefined;
  /** Time to transfer one cached token between engines; undefined if transfers are unsupported. */
  readonly cacheTransferMsPerToken: number | undefined;
  /** Number of output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}
