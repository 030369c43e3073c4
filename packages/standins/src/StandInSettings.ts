import type { EngineOptions } from './engine/EngineOptions.js';
import type { HostListOptions } from './platform/startHostList.js';
import type { WeightStoreOptions } from './platform/startWeightStore.js';
import type { RelayOptions } from './relay/RelayOptions.js';
import type { OrderingServerOptions } from './service/startOrderingServer.js';

interface Listening {
  readonly address: string;
  readonly port: number;
}

/** Argument of the stand-in program: which stand-in runs where. */
export type StandInSettings = Listening &
  (
    | { readonly kind: 'engine'; readonly options: EngineOptions }
    | { readonly kind: 'ordering'; readonly options: OrderingServerOptions }
    | { readonly kind: 'hostList'; readonly options: HostListOptions }
    | { readonly kind: 'weightStore'; readonly options: WeightStoreOptions }
    | { readonly kind: 'relay'; readonly options: RelayOptions }
    | { readonly kind: 'keyValue' }
    | { readonly kind: 'clientDirectory' }
  );
