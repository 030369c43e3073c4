import type { EngineOptions } from './engine/EngineOptions.js';
import type { HostListOptions } from './platform/startHostList.js';
import type { WeightStoreOptions } from './platform/startWeightStore.js';
import type { RelayOptions } from './relay/RelayOptions.js';
import type { OrderingServerOptions } from './service/startOrderingServer.js';

interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/** Command line argument of the stand-in program, as JSON: the stand-in to start and its address. */
export type StandInSettings = ListenAddress &
  (
    | { readonly kind: 'engine'; readonly options: EngineOptions }
    | { readonly kind: 'ordering'; readonly options: OrderingServerOptions }
    | { readonly kind: 'hostList'; readonly options: HostListOptions }
    | { readonly kind: 'weightStore'; readonly options: WeightStoreOptions }
    | { readonly kind: 'relay'; readonly options: RelayOptions }
    | { readonly kind: 'keyValue' }
    | { readonly kind: 'clientDirectory' }
  );
