import type {
  BurnReport,
  ConfigChange,
  ConfigChangeResult,
  StoredFleetDocument,
} from '@camphorbarrow/core';
import type { FleetStatus } from './FleetStatus.js';

/** What the operators' interface needs from the gateway. */
export interface OperatorApi {
  currentConfig(): StoredFleetDocument | undefined;
  /** Rejects with `ConfigChangeError` when the change was not made. */
  propose(change: ConfigChange): Promise<ConfigChangeResult>;
  status(): FleetStatus;
  /** Rejects with `NoConfigurationError` while the host has no objectives. */
  burnReport(): Promise<BurnReport>;
}
