import type { AvailabilityZoneId, HostId, ServerId } from '@camphorbarrow/core';
import type { HostRegistration } from './HostRegistration.js';
import type { KeptConfiguration } from './KeptConfiguration.js';
import type { KeptVersion } from './KeptVersion.js';
import type { RoutingTable } from './RoutingTable.js';
import type { ServerRegistration } from './ServerRegistration.js';

/** Decoded change of one key in the store. */
export type FleetChange =
  | {
      readonly kind: 'configuration';
      /** Undefined if the configuration cannot be read. */
      readonly table: RoutingTable | undefined;
      /** Why the configuration cannot be read. */
      readonly problem?: string | undefined;
    }
  | { readonly kind: 'evacuation'; readonly zone: AvailabilityZoneId; readonly active: boolean }
  | {
      readonly kind: 'server';
      readonly id: ServerId;
      /** Undefined if the entry was removed or does not describe a usable server. */
      readonly registration: ServerRegistration | undefined;
      /** Why the entry does not describe a usable server. */
      readonly problem?: string | undefined;
    }
  | {
      readonly kind: 'host';
      readonly id: HostId;
      /** Undefined if the entry was removed or does not describe a usable host. */
      readonly registration: HostRegistration | undefined;
      /** Why the entry does not describe a usable host. */
      readonly problem?: string | undefined;
    }
  | {
      readonly kind: 'kept-version';
      readonly key: string;
      /** Undefined if the entry was removed or is malformed. */
      readonly entry: KeptVersion | undefined;
      /** Why the entry is malformed. */
      readonly problem?: string | undefined;
    }
  | {
      readonly kind: 'kept-configuration';
      /** Undefined if the entry was removed or is malformed. */
      readonly entry: KeptConfiguration | undefined;
      /** Why the entry is malformed. */
      readonly problem?: string | undefined;
    }
  | { readonly kind: 'unreadable'; readonly problem: string }
  | { readonly kind: 'unrelated' };
